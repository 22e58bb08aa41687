"""Cluster membership: member records, failure detection and the choice of overlay links."""
