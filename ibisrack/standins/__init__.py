"""Stand-ins for outside systems, for development and tests only."""
