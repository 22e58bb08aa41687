"""The home instance of a key: rendezvous hashing over the listed instances of a service.

Dead instances count as long as they are listed, so the two sides of a partition choose the same
home.  Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

import hashlib
from collections import OrderedDict
from functools import lru_cache

import attrs

MAX_LISTS = 64  # Lists of one service that are remembered; about a month of changes.

_PERIOD_BYTES = 6


def home_of(key_text: str, node_ids: tuple[str, ...]) -> str | None:
    """Returns the node id of a key's home, None without instances."""
    if not node_ids:
        return None
    return max(node_ids, key=lambda node_id: (_weight(key_text, node_id), node_id))


def _weight(key_text: str, node_id: str) -> bytes:
    return hashlib.blake2b(f"{key_text}|{node_id}".encode(), digest_size=8).digest()


@lru_cache(maxsize=1024)
def period_of(node_ids: tuple[str, ...]) -> str:
    """Returns the name of a list of instances; keys made under it keep its home."""
    return hashlib.blake2b("|".join(node_ids).encode(), digest_size=_PERIOD_BYTES).hexdigest()


@attrs.frozen
class _Listing:
    """A list of instances and when this node took it over."""

    since_ms: int
    node_ids: tuple[str, ...]


@attrs.define
class HomeHistory:
    """The lists of instances that this node has seen of its own service, the newest last.

    Attributes:
      own_id: Node id of this node.
    """

    own_id: str
    _listings: list[_Listing] = attrs.field(factory=list)

    def observe(self, node_ids: tuple[str, ...], now_ms: int) -> None:
        """Takes over the present list."""
        if self._listings and self._listings[-1].node_ids == node_ids:
            return
        self._listings.append(_Listing(now_ms, node_ids))
        del self._listings[:-MAX_LISTS]

    def home_since_ms(self, key_text: str) -> int | None:
        """Returns since when this node is the home of a key without a break, None when it is not.

        A change of the list takes keys from one home to another; only those keys, not all, are
        too old at their new home.
        """
        since_ms = None
        for listing in reversed(self._listings):
            if home_of(key_text, listing.node_ids) != self.own_id:
                break
            since_ms = listing.since_ms
        return since_ms


@attrs.define
class Periods:
    """The lists of instances that this node has seen of each service, by their names.

    A caller that sends the period of an earlier answer along with a key fixes the home of the key,
    also when nodes know different lists.
    """

    _lists: dict[str, OrderedDict[str, tuple[str, ...]]] = attrs.field(factory=dict)

    def observe(self, service: str, node_ids: tuple[str, ...]) -> str:
        """Takes over the present list of a service and returns its period."""
        period = period_of(node_ids)
        lists = self._lists.setdefault(service, OrderedDict())
        if period not in lists:
            lists[period] = node_ids
            if len(lists) > MAX_LISTS:
                lists.popitem(last=False)
        return period

    def home(self, service: str, key_text: str, period: str) -> str | None:
        """Returns the home of a key made under a period, None when the period is not known."""
        node_ids = self._lists.get(service, {}).get(period)
        return home_of(key_text, node_ids) if node_ids else None
