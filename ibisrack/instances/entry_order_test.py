"""Property test: whatever happened to the registry's entry of an instance, its last start counts.

A stand-in registry holds one key.  Its instance starts again under its id, its host's clock is set
back and forth, the registry is restored from copies, and a node reads changes late, twice or as a
listing.
"""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisrack.instances.directory import RECOVERY_GRACE_S, InstanceDirectory
from ibisrack.instances.model import Instance, InstanceState
from ibisrack.registry.messages import Changes, Entry, Listing, Revision
from ibisrack.registry.view import RegistryView
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance

KEY = "servers/i-1"
MAX_COPY_AGE = 4  # Writes that a restore loses at most.

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("start"), st.integers(0, 20)),  # The time that the host's clock shows.
        st.tuples(st.just("report"), st.just(0)),
        st.tuples(st.just("drain"), st.just(0)),
        st.tuples(st.just("say_leaving"), st.integers(0, 3)),  # Of an earlier start if above 0.
        st.tuples(st.just("remove"), st.just(0)),
        st.tuples(st.just("restore"), st.integers(0, MAX_COPY_AGE)),
        st.tuples(st.just("read"), st.just(0)),
        st.tuples(st.just("list"), st.just(0)),
        st.tuples(st.just("read_again"), st.integers(0, 9)),
    ),
    max_size=25,
)


@attrs.define
class World:
    """A registry with one key, its instance, and a node.

    Attributes:
      running: The instance as it last reported, None while none runs.
      starts: All starts of the instance, the last one at the end.
      drained: Times of the starts that said, in an entry or an answer, that they end.
      history: All changes of the key in this era, with what they wrote.
    """

    running: Instance | None = None
    starts: list[int] = attrs.field(factory=list)
    drained: set[int] = attrs.field(factory=set)
    history: list[tuple[Entry, Instance | None]] = attrs.field(factory=list)
    revision: Revision = Revision(1, 1)
    view: RegistryView = attrs.field(factory=RegistryView)
    directory: InstanceDirectory = attrs.field(factory=InstanceDirectory)
    now_s: float = 100.0

    def write(self, written: Instance | None) -> None:
        self.revision = attrs.evolve(self.revision, number=self.revision.number + 1)
        content = None if written is None else b"-"
        self.history.append((Entry(KEY, content, self.revision), written))

    def start(self, clock_ms: int) -> None:
        while clock_ms in self.starts:  # No two starts have the same time.
            clock_ms += 1
        self.starts.append(clock_ms)
        self.running = instance(started_at_ms=clock_ms, sequence=1, slots=len(self.starts))
        self.write(self.running)

    def report(self, **changes) -> None:
        if self.running is not None:
            sequence = self.running.sequence + 1
            self.running = attrs.evolve(self.running, sequence=sequence, **changes)
            self.write(self.running)

    def drain(self) -> None:
        if self.running is not None:
            self.drained.add(self.running.started_at_ms)
            self.report(state=InstanceState.DRAINING)

    def say_leaving(self, age: int) -> None:
        """Lets the node hear from an answer that a start ends."""
        if len(self.starts) > age:
            start_ms = self.starts[-1 - age]
            self.drained.add(start_ms)
            self.directory.mark_draining("i-1", start_ms)

    def remove(self) -> None:
        if self.running is not None:
            self.running = None
            self.write(None)

    def restore(self, age: int) -> None:
        """Loses the last writes; the instance reports again, after the node may have read."""
        del self.history[max(len(self.history) - age, 0) :]
        number = self.history[-1][0].revision.number if self.history else 1
        self.revision = Revision(self.revision.era + 1, number)
        era = self.revision.era
        self.history = [
            (attrs.evolve(e, revision=attrs.evolve(e.revision, era=era)), i)
            for e, i in self.history
        ]
        self.list()
        if self.running is not None:
            self.report()
        elif self.history and self.history[-1][1] is not None:
            self.write(None)  # Nobody renews its lease.
        self.list()

    def read(self) -> None:
        """Lets the node read the changes since its revision, or list if they are of another era."""
        if self.view.revision.era != self.revision.era:
            self.list()
            return
        entries = [e for e, _ in self.history if e.revision > self.view.revision]
        self._apply(self.view.apply(Changes(self.revision, tuple(entries))), False)

    def read_again(self, index: int) -> None:
        """Delivers a change once more, as a peer that lags does."""
        if self.history and self.view.revision.era == self.revision.era:
            entry, _ = self.history[index % len(self.history)]
            if entry.revision <= self.view.revision:
                self._apply(self.view.apply(Changes(entry.revision, (entry,))), False)

    def list(self) -> None:
        """Lets the node list the registry."""
        is_restored = self.view.revision.era not in (0, self.revision.era)
        newest = [e for e, _ in self.history[-1:] if e.content is not None]
        listing = Listing(self.revision, tuple(newest))
        if is_restored:
            self.directory.mark_recovered(self.now_s)
        self._apply(self.view.replace(listing), is_restored)

    def _apply(self, entries: tuple[Entry, ...], is_restored: bool) -> None:
        written = {entry.revision: listed for entry, listed in self.history}
        put = self.directory.put_restored if is_restored else self.directory.put
        for entry in entries:
            if entry.content is None:
                self.directory.remove("i-1", self.now_s)
            else:
                put(attrs.evolve(written[entry.revision], revision=entry.revision))
        self.now_s += 2 * RECOVERY_GRACE_S
        self.directory.expire(self.now_s)

    def check(self) -> None:
        """Checks that the node knows the instance as it is."""
        known = self.directory.get("i-1")
        if self.running is None:
            assert known is None, known
            return
        assert known.start == self.running.start
        assert known.slots == self.running.slots
        assert known.ready == (self.running.started_at_ms not in self.drained)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_the_last_start_counts_in_whatever_order_its_entry_arrives(steps):
    """Guards against a start that a node ignores, or a former one that it keeps or takes back."""
    world = World()
    for name, argument in steps:
        operation = getattr(world, name)
        operation(argument) if name in ARGUMENT_STEPS else operation()
        if name in ("read", "list", "restore"):
            world.check()
    world.read()
    world.check()


ARGUMENT_STEPS = ("start", "say_leaving", "restore", "read_again")

load_tests = function_tests(__name__)
