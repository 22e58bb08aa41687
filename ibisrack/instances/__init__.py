"""Instances: the known instances of services, their addresses and states."""
