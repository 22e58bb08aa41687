"""The node process: its state, lifecycle, tasks and admin port."""
