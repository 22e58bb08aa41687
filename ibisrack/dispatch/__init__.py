"""Dispatch: takes a request where it arrives, chooses instances and decides about repeats."""
