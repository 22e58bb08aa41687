"""A simulated host whose node is the home of keys, with the real key store."""

import attrs

from ibisrack.calls.homes import HomeHistory, period_of
from ibisrack.calls.keys import MAX_CLOCK_SKEW_MS, KeyStore

START_MS = 1_700_000_000_000


@attrs.define
class Host:
    """A host whose node accepts calls and is the home of keys.

    Attributes:
      node_id: Identity of the node.
      clock_offset_ms: Difference of its wall clock from the simulated time.
      started_s: Simulated time at which the host was added.
      listed: Latest list of instances that the node knows.
      revision: Revision of that list.
      side: Side of a partition that the host is on, 0 or 1.
      periods: Every list that the node has known, by its period.
      key_store: Keys that the current process accepted.
      history: Lists that the current process observed.
    """

    node_id: str
    clock_offset_ms: int
    started_s: float
    listed: tuple[str, ...]
    revision: int
    side: int = 0
    periods: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    key_store: KeyStore = attrs.field(init=False)
    history: HomeHistory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts the process."""
        self.restart(self.started_s)

    def restart(self, now_s: float) -> None:
        """Starts a new process with an empty key store and history."""
        self.key_store = KeyStore(self.wall_ms(now_s) + MAX_CLOCK_SKEW_MS)
        self.history = HomeHistory(self.node_id)
        self.apply_list(self.listed, self.revision, now_s)

    def apply_list(self, listed: tuple[str, ...], revision: int, now_s: float) -> None:
        """Applies a list of instances unless it is older than the known one."""
        if revision < self.revision:
            return
        self.listed, self.revision = listed, revision
        self.periods[period_of(listed)] = listed
        self.history.observe(listed, self.wall_ms(now_s))

    def wall_ms(self, now_s: float) -> int:
        """Returns the time of the host's wall clock."""
        return START_MS + int(now_s * 1000) + self.clock_offset_ms
