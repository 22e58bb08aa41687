"""Calls: matching, instance choice, forwarding, admission and outcomes."""
