"""Dispatch: routes a local caller's requests, selects instances and decides on retries."""
