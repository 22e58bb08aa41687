"""Requests that are suspected of crashing the instances that run them."""
