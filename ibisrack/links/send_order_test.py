"""Tests of the order in which large bodies leave, on a link of 16 Mbit/s that is used to 80%."""

import math
from collections.abc import Callable
from random import Random

import attrs

from ibisrack.links.pacer import MIN_PART_BYTES, due_after_s, paced_bytes_per_s
from ibisrack.testing.functions import function_tests

RATE_BYTES_PER_S = paced_bytes_per_s(16.0)
USED_SHARE = 0.8
MEDIAN_BYTES, MAX_BYTES, SIGMA = 67_000, 540_000, 0.8  # 92 KB in the mean.
MEAN_BYTES = 92_000
COUNT = 4000
LIMIT_S = 1.1  # Left of a target of 1.24 s after a run.
SHORT_BYTES, LONG_BYTES = 30_000, 300_000


@attrs.define(eq=False)
class Body:
    """A body that is sent in parts.

    Attributes:
      arrived_at_s: When it was ready.
      size_bytes: Its size.
      left_bytes: What is not sent yet.
      turns: Number of its parts that were sent.
    """

    arrived_at_s: float
    size_bytes: int
    left_bytes: float
    turns: int = 0


def by_due_time(body: Body) -> float:
    return body.arrived_at_s + due_after_s(body.size_bytes, RATE_BYTES_PER_S)


def by_arrival(body: Body) -> float:
    return body.arrived_at_s


def by_turns(body: Body) -> float:
    """Gives bodies equal shares of the link."""
    return body.turns


def latencies_s(order: Callable[[Body], float]) -> list[tuple[int, float]]:
    """Returns size and latency of bodies of which the first in an order sends each next part."""
    rng, now_s, arriving = Random(1), 0.0, []
    for _ in range(COUNT):
        now_s += rng.expovariate(USED_SHARE * RATE_BYTES_PER_S / MEAN_BYTES)
        size_bytes = min(MAX_BYTES, int(rng.lognormvariate(math.log(MEDIAN_BYTES), SIGMA)))
        arriving.append(Body(now_s, size_bytes, size_bytes))
    arriving.reverse()
    now_s, waiting, sent = 0.0, [], []
    while arriving or waiting:
        if not waiting:
            now_s = max(now_s, arriving[-1].arrived_at_s)
        while arriving and arriving[-1].arrived_at_s <= now_s:
            waiting.append(arriving.pop())
        body = min(waiting, key=order)
        part_bytes = min(MIN_PART_BYTES, body.left_bytes)
        body.left_bytes -= part_bytes
        body.turns += 1
        now_s += part_bytes / RATE_BYTES_PER_S
        if not body.left_bytes:
            waiting.remove(body)
            sent.append((body.size_bytes, now_s - body.arrived_at_s))
    return sent


def share_in_time(sent: list[tuple[int, float]], min_bytes: int = 0) -> float:
    in_time = [latency_s <= LIMIT_S for size, latency_s in sent if size >= min_bytes]
    return sum(in_time) / len(in_time)


def slowest_short_s(sent: list[tuple[int, float]]) -> float:
    """Returns the 99th percentile of the latency of short bodies."""
    latencies = sorted(latency_s for size, latency_s in sent if size < SHORT_BYTES)
    return latencies[int(0.99 * len(latencies))]


def test_more_bodies_arrive_in_time_by_due_time_than_with_equal_shares():
    """Guards against streams that share a link so fairly that all of them are late."""
    due, arrival, equal = (latencies_s(order) for order in (by_due_time, by_arrival, by_turns))
    assert share_in_time(due) >= share_in_time(arrival) - 0.002
    assert share_in_time(due) > share_in_time(equal) + 0.01
    assert share_in_time(due, LONG_BYTES) > share_in_time(equal, LONG_BYTES) + 0.1
    assert slowest_short_s(due) < 0.9 * slowest_short_s(arrival)


load_tests = function_tests(__name__)
