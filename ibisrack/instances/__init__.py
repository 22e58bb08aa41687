"""Instances: which upstreams exist, where they are and whether they take requests."""
