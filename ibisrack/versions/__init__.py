"""Configuration versions: chunks, staging, confirmation and activation."""
