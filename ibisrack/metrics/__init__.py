"""Metrics: counts that are kept as plain integers and handed to the metrics library when read."""
