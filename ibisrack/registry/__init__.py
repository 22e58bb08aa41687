"""The platform's registry: what is listed there, how it is followed and passed on to peers."""
