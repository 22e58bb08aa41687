"""The sidecar process: a node that finds the other nodes through the platform's registry."""
