"""Reading and watching the platform's configuration service and host list."""
