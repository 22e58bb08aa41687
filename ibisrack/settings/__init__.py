"""Settings of all processes: their classes, loading, validation and documentation."""
