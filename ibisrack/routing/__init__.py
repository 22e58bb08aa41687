"""Routing: maps requests to services and holds the configuration in force."""
