"""Timeline of typed events, ordered across processes."""
