"""Parsing, validation, comparison and explanation of rules files."""
