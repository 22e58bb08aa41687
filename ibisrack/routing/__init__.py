"""Routes: which service serves a request, and which configuration is in force."""
