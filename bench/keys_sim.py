"""Virtual-time runs of keyed calls and their repeats over the real key ledger and home choice.

Hosts restart and are replaced, zones are cut from each other, and the list of instances reaches
each node with its own delay.  Counted are keys that ran more than once.
"""

import heapq
import uuid
from functools import singledispatch
from random import Random

import attrs

from ibisrack.calls.homes import HomeHistory, home_of, period_of
from ibisrack.calls.keys import (
    JoinRunning,
    Key,
    KeyStore,
    OutcomeUnknown,
    RefuseRequest,
    ReplayAnswer,
    RunNow,
)
from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason

START_MS = 1_700_000_000_000
DURATION_S = 900.0
KEYS_PER_S = 12
INSTANCES = 5
ATTEMPTS = 4
REPEAT_MEAN_S = 3.0
LOST_ANSWER = 0.3
RESTART_EVERY_S = 20.0
REPLACE_EVERY_S = 30.0
CUT_EVERY_S = 60.0
CUT_S = 30.0
CLOCK_OFFSET_MS = 500  # Two clocks differ by at most twice this, half of the allowed skew.
MAX_DELAY_S = 12.0  # A list reaches every node that is not cut off within this time.
MEAN_DELAY_S = 2.0
OK = Answer(200, {}, b"done")


@attrs.frozen
class NoAffinity:
    """Any instance in reach runs the call."""


@attrs.frozen
class LiveAffinity:
    """Rendezvous hashing over the instances in reach."""


@attrs.frozen
class ListedAffinity:
    """Rendezvous hashing over the listed instances, dead or alive.

    Attributes:
      agreed: Whether the home also checks that both nodes know the same list.
    """

    agreed: bool = False


@attrs.frozen
class PeriodAffinity:
    """The caller names the list under which it made the key (instance-affinity draft)."""


@attrs.define
class Host:
    """One host: a node that takes calls and is the home of keys."""

    node_id: str
    clock_offset_ms: int
    started_s: float
    listed: tuple[str, ...]
    revision: int
    side: int = 0
    periods: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    ledger: KeyStore = attrs.field(init=False)
    history: HomeHistory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts the process."""
        self.restart(self.started_s)

    def restart(self, now_s: float) -> None:
        """Starts a new process, which remembers nothing."""
        self.ledger = KeyStore(self.wall_ms(now_s) + 2000)
        self.history = HomeHistory(self.node_id)
        self.learn(self.listed, self.revision, now_s)

    def learn(self, listed: tuple[str, ...], revision: int, now_s: float) -> None:
        """Takes over a list of instances unless it is older than the known one."""
        if revision < self.revision:
            return
        self.listed, self.revision = listed, revision
        self.periods[period_of(listed)] = listed
        self.history.observe(listed, self.wall_ms(now_s))

    def wall_ms(self, now_s: float) -> int:
        """Reads the host's wall clock."""
        return START_MS + int(now_s * 1000) + self.clock_offset_ms


@attrs.define
class KeysSimulation:
    """Runs keys under one way of choosing their home.

    Attributes:
      mode: The way.
      cut_hides_list: Whether a node that is cut off learns no list before the end of the cut.
      rng: Source of all chances.
      duration_s: Length of the run.
    """

    mode: object
    cut_hides_list: bool
    rng: Random
    duration_s: float = DURATION_S
    hosts: dict[str, Host] = attrs.field(factory=dict)
    listed: tuple[str, ...] = ()
    revision: int = 0
    cut_until_s: float = 0.0
    runs: dict[str, int] = attrs.field(factory=dict)
    told: dict[str, int] = attrs.field(factory=dict)
    false_not_run: int = 0
    _events: list = attrs.field(factory=list)
    _count: int = 0

    def run(self) -> None:
        """Runs to the end."""
        self.listed = tuple(f"host-{number}" for number in range(INSTANCES))
        for node_id in self.listed:
            self._start(node_id, 0.0)
        self._count = INSTANCES
        self._repeat(RESTART_EVERY_S, self._restart)
        self._repeat(REPLACE_EVERY_S, self._replace)
        self._repeat(CUT_EVERY_S, self._cut)
        self._repeat(1 / KEYS_PER_S, self._new_key)
        while self._events and self._events[0][0] < self.duration_s:
            now_s, _, action, arguments = heapq.heappop(self._events)
            action(now_s, *arguments)

    def reaches(self, a: Host, b: Host, now_s: float) -> bool:
        """Returns whether two hosts can talk."""
        return now_s >= self.cut_until_s or a.side == b.side

    def twice(self) -> int:
        """Returns the number of keys that ran more than once."""
        return sum(1 for runs in self.runs.values() if runs > 1)

    def _at(self, at_s: float, action, *arguments) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, action, arguments))

    def _repeat(self, mean_s: float, action) -> None:
        at_s = self.rng.expovariate(1 / mean_s)
        while at_s < self.duration_s:
            self._at(at_s, action)
            at_s += self.rng.expovariate(1 / mean_s)

    def _start(self, node_id: str, now_s: float) -> None:
        offset_ms = self.rng.randint(-CLOCK_OFFSET_MS, CLOCK_OFFSET_MS)
        side = self.rng.randint(0, 1)
        host = Host(node_id, offset_ms, now_s, self.listed, self.revision, side)
        self.hosts[node_id] = host

    def _restart(self, now_s: float) -> None:
        self.rng.choice(list(self.hosts.values())).restart(now_s)

    def _replace(self, now_s: float) -> None:
        """Stops a host, lists another one in its place and tells every node of it."""
        gone = self.rng.choice(self.listed)
        del self.hosts[gone]
        fresh = f"host-{self._count}"
        self.listed = tuple(sorted({*self.listed, fresh} - {gone}))
        self.revision += 1
        self._start(fresh, now_s)
        for host in self.hosts.values():
            if host.node_id != fresh:
                at_s = now_s + self._delay_s(host, now_s)
                self._at(at_s, self._tell, host, self.listed, self.revision)

    def _delay_s(self, host: Host, now_s: float) -> float:
        delay_s = min(MAX_DELAY_S, self.rng.expovariate(1 / MEAN_DELAY_S))
        hidden = self.cut_hides_list and host.side == 1 and now_s < self.cut_until_s
        return delay_s + (self.cut_until_s - now_s if hidden else 0.0)

    def _tell(self, now_s: float, host: Host, listed: tuple[str, ...], revision: int) -> None:
        host.learn(listed, revision, now_s)

    def _cut(self, now_s: float) -> None:
        if now_s >= self.cut_until_s:
            self.cut_until_s = now_s + CUT_S
            for host in self.hosts.values():
                host.side = self.rng.randint(0, 1)

    def _new_key(self, now_s: float) -> None:
        time_ms = START_MS + int(now_s * 1000) + self.rng.randint(-CLOCK_OFFSET_MS, CLOCK_OFFSET_MS)
        value = (time_ms << 80) | (7 << 76) | (2 << 62) | self.rng.getrandbits(62)
        key = Key(str(uuid.UUID(int=value)), time_ms)
        period = period_of(self.rng.choice(list(self.hosts.values())).listed)
        self._attempt(now_s, key, period, 1)

    def _attempt(self, now_s: float, key: Key, period: str, number: int) -> None:
        ingress = self.rng.choice(list(self.hosts.values()))
        told = self._call(ingress, key, period, now_s)
        if told == "not-run" and self.runs.get(key.text):
            self.false_not_run += 1
        is_lost = self.rng.random() < LOST_ANSWER
        if (is_lost or told != "done") and number < ATTEMPTS:
            at_s = now_s + self.rng.expovariate(1 / REPEAT_MEAN_S)
            self._at(at_s, self._attempt, key, period, number + 1)
        else:
            self.told[told] = self.told.get(told, 0) + 1

    def _call(self, ingress: Host, key: Key, period: str, now_s: float) -> str:
        home = choose_home(self.mode, self, ingress, key, period, now_s)
        if home is None or not self.reaches(ingress, home, now_s):
            return "unknown"
        since_ms = home_since_ms(self.mode, ingress, home, key)
        if since_ms is None:
            return "unknown"
        verdict = home.ledger.accept(key, b"", since_ms, home.wall_ms(now_s))
        if type(verdict) is not RunNow:
            return _TOLD[type(verdict)]
        self.runs[key.text] = self.runs.get(key.text, 0) + 1
        if self.rng.random() < 0.1:
            home.ledger.unknown(key, Reason.CONNECTION_LOST, home.wall_ms(now_s))
            return "unknown"
        home.ledger.done(key, OK, home.wall_ms(now_s))
        return "done"


_TOLD = {
    JoinRunning: "unknown",
    ReplayAnswer: "done",
    OutcomeUnknown: "unknown",
    RefuseRequest: "not-run",
}


@singledispatch
def choose_home(
    mode: object, simulation: KeysSimulation, ingress: Host, key: Key, period: str, now_s: float
) -> Host | None:
    """Returns the host that an ingress node sends a key to."""
    raise TypeError(f"unknown mode {type(mode).__name__}")


@choose_home.register
def _(mode: NoAffinity, simulation, ingress, key, period, now_s) -> Host | None:
    return simulation.rng.choice(_in_reach(simulation, ingress, now_s))


@choose_home.register
def _(mode: LiveAffinity, simulation, ingress, key, period, now_s) -> Host | None:
    near = tuple(sorted(host.node_id for host in _in_reach(simulation, ingress, now_s)))
    return simulation.hosts[home_of(key.text, near)]


@choose_home.register
def _(mode: ListedAffinity, simulation, ingress, key, period, now_s) -> Host | None:
    return simulation.hosts.get(home_of(key.text, ingress.listed))


@choose_home.register
def _(mode: PeriodAffinity, simulation, ingress, key, period, now_s) -> Host | None:
    return simulation.hosts.get(home_of(key.text, ingress.periods.get(period, ())))


def _in_reach(simulation: KeysSimulation, ingress: Host, now_s: float) -> list[Host]:
    hosts = simulation.hosts.values()
    return [host for host in hosts if simulation.reaches(ingress, host, now_s)]


@singledispatch
def home_since_ms(mode: object, ingress: Host, home: Host, key: Key) -> int | None:
    """Returns since when a host is the home of a key, None when it refuses to be."""
    return 0


@home_since_ms.register
def _(mode: ListedAffinity, ingress: Host, home: Host, key: Key) -> int | None:
    if mode.agreed and ingress.listed != home.listed:
        return None
    return home.history.home_since_ms(key.text)
