"""The upstream instance beside this node."""
