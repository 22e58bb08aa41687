"""The sidecar process: a node that finds its fleet in the platform's registry."""
