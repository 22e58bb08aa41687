"""Which nodes exist, which are alive, and which of them are this node's links."""
