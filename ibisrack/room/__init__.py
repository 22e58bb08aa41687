"""Fleet status: reports, zone summaries and the screens."""
