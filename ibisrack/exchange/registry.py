"""Registers the handlers of every slice with dispatch.handle, by importing them."""

import ibisrack.membership.handlers
import ibisrack.room.handlers
import ibisrack.versions.handlers  # noqa: F401
