"""Benchmarks with bounds, fault scenarios with real processes, and the demos."""
