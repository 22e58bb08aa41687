"""Interval of the status reports, and the silence after which a node counts as cut off."""

MIN_REPORT_INTERVAL_S = 10.0
# Bounds the reports that a collector of a large zone receives.
REPORT_INTERVAL_PER_MEMBER_S = 1 / 3
# A collector receives only every second periodic report of a node.
CUT_OFF_AFTER_INTERVALS = 4.5


def report_interval_s(zone_members: int) -> float:
    """Returns the time between two periodic reports of a node.

    Args:
      zone_members: Number of nodes in its zone.
    """
    return max(MIN_REPORT_INTERVAL_S, zone_members * REPORT_INTERVAL_PER_MEMBER_S)


def cut_off_after_s(zone_members: int) -> float:
    """Returns the age of the last report above which a node counts as cut off.

    Args:
      zone_members: Number of nodes in its zone.
    """
    return CUT_OFF_AFTER_INTERVALS * report_interval_s(zone_members)
