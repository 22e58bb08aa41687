"""Links: a node has one multiplexed connection to each node that it sends requests to."""
