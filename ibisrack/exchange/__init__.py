"""Control messages between nodes: codec, gRPC carrier and peer tasks."""
