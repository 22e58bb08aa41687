"""Links: one multiplexed connection from each node to each node that it sends requests to."""
