"""Hosting: runs requests on the upstream beside the node and remembers what became of them."""
