"""What the operators' tools read from the admin ports of nodes."""
