"""Configuration distribution system for a service mesh."""
