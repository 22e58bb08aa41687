"""Support for tests: plain test functions under unittest and shared fixtures."""
