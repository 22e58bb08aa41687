#!/bin/sh
# The stand-ins of the third review are Python modules that need nothing beyond what the build of the
# deploy file leaves in target/deps; this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c "
import sys
sys.path.insert(0, 'review/kit-3')
import kit
"
