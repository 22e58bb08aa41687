"""Distributes configuration to the proxies of a service mesh and routes calls between them."""

__version__ = "0.1.0"
