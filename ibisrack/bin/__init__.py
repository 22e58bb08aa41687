"""Entry points of the programs."""

import gc

# Set before the imports of a program, whose objects all remain: collections would visit them again
# and again for nothing.  Later, a full collection visits every timeline entry and delays calls by
# about 10 ms.  Objects that live for one call are freed by reference counting, so collections can
# be rare.
gc.set_threshold(50_000, 20, 50)
