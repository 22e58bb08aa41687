"""Fault soak: real sidecars as separate processes, faults from outside, and checks of promises."""
