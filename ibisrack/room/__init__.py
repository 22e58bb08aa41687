"""What operators see of the whole fleet: the view, its poller and the screens."""
