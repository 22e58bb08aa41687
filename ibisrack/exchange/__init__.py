"""Control messages between nodes: codec, HTTP transport and link tasks."""
