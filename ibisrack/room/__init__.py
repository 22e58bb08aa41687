"""Status of the whole fleet for operators: reports, summaries, the polled view and its screens."""
