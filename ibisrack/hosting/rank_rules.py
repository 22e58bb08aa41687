"""Ranks of the requests for the instance beside this node."""

from ibisrack.routing.model import rank_name
from ibisrack.rules.model import RankRule

# Guaranteed share of slot time of each rank below the most urgent one.
LOWER_RANK_SHARE_PERCENT = 10
MAX_QUEUED_PER_RANK = 100


def rank_rules(service: str, priorities: list[int]) -> tuple[RankRule, ...]:
    """Returns a rank for each of the sorted priorities, the most urgent first."""
    return tuple(
        RankRule(
            line=0,
            requester="",
            reason="",
            service=service,
            rank=rank_name(priority),
            order=priority,
            share_percent=LOWER_RANK_SHARE_PERCENT if index else 0,
            max_queue=MAX_QUEUED_PER_RANK,
        )
        for index, priority in enumerate(priorities)
    )
