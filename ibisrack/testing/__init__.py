"""Test support: test functions under unittest, shared fixtures and simulated fleets."""
