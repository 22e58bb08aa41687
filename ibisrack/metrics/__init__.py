"""Metrics: plain integer counters, converted for the metrics library at each scrape."""
