"""Discrete-event simulation of keyed calls and their repeats, with the real key store and homes.

Hosts restart and are replaced, partitions separate them, and the list of instances reaches each
node with its own delay.  The simulation counts the keys that are executed more than once.
"""

import heapq
import uuid
from functools import singledispatch
from random import Random

import attrs

from bench.keys_host import START_MS, Host
from ibisrack.calls.homes import home_of, period_of
from ibisrack.calls.keys import (
    JoinRunning,
    Key,
    OutcomeUnknown,
    RefuseRequest,
    ReplayAnswer,
    RunNow,
)
from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Outcome, Reason

DURATION_S = 900.0
KEYS_PER_S = 12
INSTANCE_COUNT = 5
MAX_ATTEMPTS = 4
MEAN_REPEAT_DELAY_S = 3.0
ANSWER_LOSS_PROBABILITY = 0.3
# Mean intervals of events that occur at random.
RESTART_INTERVAL_S = 20.0
REPLACEMENT_INTERVAL_S = 30.0
PARTITION_INTERVAL_S = 60.0
PARTITION_DURATION_S = 30.0  # Not random.
MAX_CLOCK_OFFSET_MS = 500  # Two clocks differ by up to twice this, half of the allowed skew.
MAX_LIST_DELAY_S = 12.0  # Bound on the delay of a new list, unless a partition hides it.
MEAN_LIST_DELAY_S = 2.0
ANSWER = Answer(200, {}, b"done")


@attrs.frozen
class NoAffinity:
    """A random reachable instance executes the call."""


@attrs.frozen
class LiveAffinity:
    """Rendezvous hashing over the reachable instances."""


@attrs.frozen
class ListedAffinity:
    """Rendezvous hashing over the listed instances, dead or alive.

    Attributes:
      agreed: Whether the home accepts a key only if both nodes know the same list.
    """

    agreed: bool = False


@attrs.frozen
class PeriodAffinity:
    """The caller sends the period of the list under which it created the key.

    See the instance-affinity draft.
    """


_REPORTED_OUTCOMES = {
    JoinRunning: Outcome.UNKNOWN,
    ReplayAnswer: Outcome.DONE,
    OutcomeUnknown: Outcome.UNKNOWN,
    RefuseRequest: Outcome.NOT_RUN,
}


@attrs.define
class KeysSimulation:
    """Simulates keyed calls under one strategy that chooses the home of a key.

    Attributes:
      strategy: The strategy; see ``choose_home``.
      partitions_hide_lists: Whether nodes on one side of a partition get no new list while it
        lasts.
      rng: Source of all random draws.
      duration_s: Simulated time.
      hosts: Running hosts by node id.
      listed: Current list of instances.
      revision: Revision of the current list.
      partitioned_until_s: End of the latest partition.
      executions: Number of executions by key.
      final_outcomes: Number of keys by the outcome of their last attempt.
      false_not_run: Number of calls reported as not run although their key was executed.
    """

    strategy: object
    partitions_hide_lists: bool
    rng: Random
    duration_s: float = DURATION_S
    hosts: dict[str, Host] = attrs.field(factory=dict)
    listed: tuple[str, ...] = ()
    revision: int = 0
    partitioned_until_s: float = 0.0
    executions: dict[str, int] = attrs.field(factory=dict)
    final_outcomes: dict[Outcome, int] = attrs.field(factory=dict)
    false_not_run: int = 0
    _events: list = attrs.field(factory=list)
    _last_number: int = 0  # Given to an event or a host.

    def run(self) -> None:
        """Runs the simulation."""
        self.listed = tuple(f"host-{number}" for number in range(INSTANCE_COUNT))
        for node_id in self.listed:
            self._start_host(node_id, 0.0)
        self._last_number = INSTANCE_COUNT
        self._schedule_poisson(RESTART_INTERVAL_S, self._restart_host)
        self._schedule_poisson(REPLACEMENT_INTERVAL_S, self._replace_host)
        self._schedule_poisson(PARTITION_INTERVAL_S, self._start_partition)
        self._schedule_poisson(1 / KEYS_PER_S, self._create_key)
        while self._events and self._events[0][0] < self.duration_s:
            now_s, _, action, arguments = heapq.heappop(self._events)
            action(now_s, *arguments)

    def reaches(self, a: Host, b: Host, now_s: float) -> bool:
        """Returns whether two hosts can reach each other."""
        return now_s >= self.partitioned_until_s or a.side == b.side

    def keys_executed_twice(self) -> int:
        """Returns the number of keys that were executed more than once."""
        return sum(1 for count in self.executions.values() if count > 1)

    def _schedule(self, at_s: float, action, *arguments) -> None:
        self._last_number += 1
        heapq.heappush(self._events, (at_s, self._last_number, action, arguments))

    def _schedule_poisson(self, mean_s: float, action) -> None:
        at_s = self.rng.expovariate(1 / mean_s)
        while at_s < self.duration_s:
            self._schedule(at_s, action)
            at_s += self.rng.expovariate(1 / mean_s)

    def _start_host(self, node_id: str, now_s: float) -> None:
        offset_ms = self.rng.randint(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS)
        side = self.rng.randint(0, 1)
        host = Host(node_id, offset_ms, now_s, self.listed, self.revision, side)
        self.hosts[node_id] = host

    def _restart_host(self, now_s: float) -> None:
        self.rng.choice(list(self.hosts.values())).restart(now_s)

    def _replace_host(self, now_s: float) -> None:
        """Replaces a host by a new one and sends the new list to every node after a delay."""
        removed = self.rng.choice(self.listed)
        del self.hosts[removed]
        added = f"host-{self._last_number}"
        self.listed = tuple(sorted({*self.listed, added} - {removed}))
        self.revision += 1
        self._start_host(added, now_s)
        for host in self.hosts.values():
            if host.node_id != added:
                at_s = now_s + self._list_delay_s(host, now_s)
                self._schedule(at_s, self._deliver_list, host, self.listed, self.revision)

    def _list_delay_s(self, host: Host, now_s: float) -> float:
        delay_s = min(MAX_LIST_DELAY_S, self.rng.expovariate(1 / MEAN_LIST_DELAY_S))
        hidden = self.partitions_hide_lists and host.side == 1 and now_s < self.partitioned_until_s
        return delay_s + (self.partitioned_until_s - now_s if hidden else 0.0)

    def _deliver_list(
        self, now_s: float, host: Host, listed: tuple[str, ...], revision: int
    ) -> None:
        host.apply_list(listed, revision, now_s)

    def _start_partition(self, now_s: float) -> None:
        if now_s >= self.partitioned_until_s:
            self.partitioned_until_s = now_s + PARTITION_DURATION_S
            for host in self.hosts.values():
                host.side = self.rng.randint(0, 1)

    def _create_key(self, now_s: float) -> None:
        time_ms = (
            START_MS
            + int(now_s * 1000)
            + self.rng.randint(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS)
        )
        value = (time_ms << 80) | (7 << 76) | (2 << 62) | self.rng.getrandbits(62)
        key = Key(str(uuid.UUID(int=value)), time_ms)
        period = period_of(self.rng.choice(list(self.hosts.values())).listed)
        self._attempt(now_s, key, period, 1)

    def _attempt(self, now_s: float, key: Key, period: str, number: int) -> None:
        ingress = self.rng.choice(list(self.hosts.values()))
        outcome = self._call(ingress, key, period, now_s)
        if outcome == Outcome.NOT_RUN and self.executions.get(key.text):
            self.false_not_run += 1
        is_answer_lost = self.rng.random() < ANSWER_LOSS_PROBABILITY
        if (is_answer_lost or outcome != Outcome.DONE) and number < MAX_ATTEMPTS:
            at_s = now_s + self.rng.expovariate(1 / MEAN_REPEAT_DELAY_S)
            self._schedule(at_s, self._attempt, key, period, number + 1)
        else:
            self.final_outcomes[outcome] = self.final_outcomes.get(outcome, 0) + 1

    def _call(self, ingress: Host, key: Key, period: str, now_s: float) -> Outcome:
        home = choose_home(self.strategy, self, ingress, key, period, now_s)
        if home is None or not self.reaches(ingress, home, now_s):
            return Outcome.UNKNOWN
        since_ms = home_since_ms(self.strategy, ingress, home, key)
        if since_ms is None:
            return Outcome.UNKNOWN
        decision = home.key_store.accept(key, b"", since_ms, home.wall_ms(now_s))
        if type(decision) is not RunNow:
            return _REPORTED_OUTCOMES[type(decision)]
        self.executions[key.text] = self.executions.get(key.text, 0) + 1
        if self.rng.random() < 0.1:
            home.key_store.record_unknown(key, Reason.CONNECTION_LOST, home.wall_ms(now_s))
            return Outcome.UNKNOWN
        home.key_store.record_done(key, ANSWER, home.wall_ms(now_s))
        return Outcome.DONE


@singledispatch
def choose_home(
    strategy: object, simulation: KeysSimulation, ingress: Host, key: Key, period: str, now_s: float
) -> Host | None:
    """Returns the host to which an ingress node sends a key, None if there is none."""
    raise TypeError(f"unknown strategy {type(strategy).__name__}")


@choose_home.register
def _(strategy: NoAffinity, simulation, ingress, key, period, now_s) -> Host | None:
    return simulation.rng.choice(_reachable_hosts(simulation, ingress, now_s))


@choose_home.register
def _(strategy: LiveAffinity, simulation, ingress, key, period, now_s) -> Host | None:
    reachable_ids = tuple(
        sorted(host.node_id for host in _reachable_hosts(simulation, ingress, now_s))
    )
    return simulation.hosts[home_of(key.text, reachable_ids)]


@choose_home.register
def _(strategy: ListedAffinity, simulation, ingress, key, period, now_s) -> Host | None:
    return simulation.hosts.get(home_of(key.text, ingress.listed))


@choose_home.register
def _(strategy: PeriodAffinity, simulation, ingress, key, period, now_s) -> Host | None:
    return simulation.hosts.get(home_of(key.text, ingress.periods.get(period, ())))


def _reachable_hosts(simulation: KeysSimulation, ingress: Host, now_s: float) -> list[Host]:
    hosts = simulation.hosts.values()
    return [host for host in hosts if simulation.reaches(ingress, host, now_s)]


@singledispatch
def home_since_ms(strategy: object, ingress: Host, home: Host, key: Key) -> int | None:
    """Returns the wall time since which a host has been the home of a key.

    0 means always, None that the host rejects the key.
    """
    return 0


@home_since_ms.register
def _(strategy: ListedAffinity, ingress: Host, home: Host, key: Key) -> int | None:
    if strategy.agreed and ingress.listed != home.listed:
        return None
    return home.history.home_since_ms(key.text)
