"""Planned stop of a sidecar: what is still accepted, and when the process ends."""
