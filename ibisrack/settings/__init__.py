"""Settings of the processes: classes, loading and checking of JSON files."""
