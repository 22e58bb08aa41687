"""Control messages between nodes: codec, HTTP transport and peer tasks."""
