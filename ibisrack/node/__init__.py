"""The node process: composition of the slices and its lifecycle."""
