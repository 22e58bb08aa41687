"""The platform's registry: follows its changes and keeps a view that can be sent to peers."""
