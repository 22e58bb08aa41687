"""Calls: route matching, choice of the instance, forwarding, admission and outcomes."""
