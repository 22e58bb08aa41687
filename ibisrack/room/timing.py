"""How often nodes report, and after which silence a node counts as cut off."""

LEAST_INTERVAL_S = 10.0
INTERVAL_PER_MEMBER_S = 1 / 3  # Bounds the reports that a collector of a large zone takes.
SILENT_INTERVALS = 4.5  # A collector hears from a node at every second report.


def report_interval_s(zone_members: int) -> float:
    """Returns the time between two steady reports of a node in a zone of some size."""
    return max(LEAST_INTERVAL_S, zone_members * INTERVAL_PER_MEMBER_S)


def silent_after_s(zone_members: int) -> float:
    """Returns the age of the last report at which a node counts as cut off."""
    return SILENT_INTERVALS * report_interval_s(zone_members)
