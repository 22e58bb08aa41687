"""Memory of a node for what it holds for callers, peers and the instance: one account of bytes."""
