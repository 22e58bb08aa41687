"""Configuration versions: transfer in chunks, staging, confirmation and activation."""
