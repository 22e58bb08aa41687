"""Time line of typed events ordered across processes."""
