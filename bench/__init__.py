"""Measurements with bounds, and the demo."""
