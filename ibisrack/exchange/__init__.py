"""Control messages between nodes: codec, HTTP carrier and peer tasks."""
