"""Imports the handlers of every slice, which register themselves with dispatch.handle."""

import ibisrack.membership.handlers
import ibisrack.room.handlers
import ibisrack.versions.handlers  # noqa: F401
