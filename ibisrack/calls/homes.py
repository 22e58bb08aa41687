"""The home of a key, the instance that runs the calls with it, chosen by rendezvous hashing.

All listed instances of the service are candidates, also dead ones, so both sides of a partition
choose the same home.  Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998.
"""

import hashlib
from collections import OrderedDict
from functools import lru_cache

import attrs

MAX_KEPT_LISTS = 64  # For each service; about a month of changes.

_PERIOD_BYTES = 6


def home_of(key_text: str, node_ids: tuple[str, ...]) -> str | None:
    """Returns the node id of a key's home, None if there are no instances."""
    if not node_ids:
        return None
    return max(node_ids, key=lambda node_id: (_weight(key_text, node_id), node_id))


def _weight(key_text: str, node_id: str) -> bytes:
    return hashlib.blake2b(f"{key_text}|{node_id}".encode(), digest_size=8).digest()


@lru_cache(maxsize=1024)
def period_of(node_ids: tuple[str, ...]) -> str:
    """Returns the period of a list of instances: a digest that identifies the list."""
    return hashlib.blake2b("|".join(node_ids).encode(), digest_size=_PERIOD_BYTES).hexdigest()


@attrs.frozen
class _ObservedList:
    """A list of instances and the wall time at which this node first observed it."""

    observed_at_ms: int
    node_ids: tuple[str, ...]


@attrs.define
class HomeHistory:
    """Lists of instances of the own service that this node has observed, the newest last.

    Attributes:
      own_id: Node id of this node.
    """

    own_id: str
    _observed: list[_ObservedList] = attrs.field(factory=list)

    def observe(self, node_ids: tuple[str, ...], now_ms: int) -> None:
        """Records the current list."""
        if self._observed and self._observed[-1].node_ids == node_ids:
            return
        self._observed.append(_ObservedList(now_ms, node_ids))
        del self._observed[:-MAX_KEPT_LISTS]

    def home_since_ms(self, key_text: str) -> int | None:
        """Returns the wall time since when this node has been the home of a key without a break.

        None means that it is not the home.  The time is found for each key, because a change of
        the list moves only some keys to a new home; only those may get KEY_TOO_OLD there.
        """
        since_ms = None
        for observed in reversed(self._observed):
            if home_of(key_text, observed.node_ids) != self.own_id:
                break
            since_ms = observed.observed_at_ms
        return since_ms


@attrs.define
class KeyPeriods:
    """Lists of instances of each service that this node has observed, by their periods.

    A caller that sends the period of an earlier answer with a key fixes the home of the key, even
    while nodes know different lists.
    """

    _lists: dict[str, OrderedDict[str, tuple[str, ...]]] = attrs.field(factory=dict)

    def observe(self, service: str, node_ids: tuple[str, ...]) -> str:
        """Records the current list of a service and returns its period."""
        period = period_of(node_ids)
        lists = self._lists.setdefault(service, OrderedDict())
        if period not in lists:
            lists[period] = node_ids
            if len(lists) > MAX_KEPT_LISTS:
                lists.popitem(last=False)
        return period

    def home(self, service: str, key_text: str, period: str) -> str | None:
        """Returns the home of a key in the list of a period, None if the period is not known."""
        node_ids = self._lists.get(service, {}).get(period)
        return home_of(key_text, node_ids) if node_ids else None
