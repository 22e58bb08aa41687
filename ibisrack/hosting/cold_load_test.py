"""Tests of what cold instances get of the load of deployment A, when processes or links fail."""

from random import Random

import attrs

from ibisrack.calls.start_window import WINDOW_S, StartWindow
from ibisrack.dispatch.choice import InstanceViews, choose_instance
from ibisrack.hosting.coldness import ENTRY_TRANSIT_S, Coldness, Doubt, cold_bound
from ibisrack.links.messages import Load
from ibisrack.registry.messages import NO_REVISION
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import instance

BOUND = cold_bound(6.5, 1.5, 8.0)
# Requests for plan-view in a burst of 1.7 times (641 and a tenth of 261 a second) on 44 instances.
OFFERED_PER_S = 26
STEP_S = 1 / OFFERED_PER_S
# Requests for docs in a burst of 1.7 times, the calls to it included, and its instances by zone.
DOCS_PER_S = 800
DOCS_BY_ZONE = {"a": 3, "b": 2, "c": 1, "d": 2}
DOCS_SLOTS = 5
DOCS_RUN_S = 0.122


def offer(window: StartWindow, from_s: float, until_s: float) -> list[float]:
    """Offers requests at a steady rate; returns the times at which they are sent."""
    sent_s, now_s = [], from_s
    while now_s < until_s:
        if window.allows_start(now_s):
            start = window.record_start()
            window.record_sent(start, now_s)
            window.finish(start, now_s + STEP_S)
            sent_s.append(now_s)
        now_s += STEP_S
    return sent_s


def most_in_a_second(sent_s: list[float]) -> int:
    return max(sum(a <= b <= a + 1.0 for b in sent_s) for a in sent_s)


def test_a_node_that_restarts_under_the_load_of_a_burst():
    """Guards against two allowances in a second, of the earlier process and of the next one."""
    earlier, next_one = StartWindow(in_force=True), StartWindow(10.3, in_force=True)
    earlier.set_bound(BOUND)
    next_one.set_bound(BOUND)
    sent_s = offer(earlier, 5.0, 10.3) + offer(next_one, 10.3, 15.0)
    assert most_in_a_second(sent_s) <= BOUND
    assert len([s for s in sent_s if s > 10.3 + WINDOW_S]) >= 3 * BOUND


def test_a_node_that_is_cut_off_from_the_registry_under_the_load_of_a_burst():
    """Guards against full load on an instance that recovers while no entry can say that."""
    coldness, window = Coldness(), StartWindow()
    coldness.observe_entry(instance(sequence=3), 5.0)
    coldness.observe_health(0.0, 5.0, 5.0)
    window.set_bound(BOUND)
    before_s = offer(window, 5.0, 8.0)
    coldness.record_event(Doubt.REFUSED, 8.0)
    # No entry arrives; the instance is back at once and is asked a second later.
    window.in_force = coldness.is_cold(8.0)
    sent_s = offer(window, 8.0, 9.0)
    coldness.observe_health(3.0, 9.0, 9.0)
    sent_s += offer(window, 9.0, 12.0)
    assert most_in_a_second(before_s[-BOUND:] + sent_s) <= BOUND
    coldness.advance(12.0)
    assert coldness.is_cold(12.0 + ENTRY_TRANSIT_S)
    coldness.observe_health(0.0, 12.1, 12.1)
    window.in_force = coldness.is_cold(12.1)
    assert len(offer(window, 12.1, 13.1)) >= OFFERED_PER_S - 1


@attrs.define
class DocsNode:
    """Node beside an instance of docs, without I/O.

    Attributes:
      window: Bound while the instance is cold, None for a warm instance that is full.
      sent_s: Times at which requests were sent to the instance.
      ends_s: Times at which the running ones end.
    """

    window: StartWindow | None
    sent_s: list[float] = attrs.field(factory=list)
    ends_s: list[float] = attrs.field(factory=list)

    def take(self, now_s: float) -> bool:
        """Sends a request to the instance, or refuses it at once."""
        self.ends_s = [end_s for end_s in self.ends_s if end_s > now_s]
        if self.window is None or len(self.ends_s) >= DOCS_SLOTS:
            return False
        if not self.window.allows_start(now_s):
            return False
        start = self.window.record_start()
        self.window.record_sent(start, now_s)
        self.window.finish(start, now_s)
        self.sent_s.append(now_s)
        self.ends_s.append(now_s + DOCS_RUN_S)
        return True

    def load(self, now_s: float) -> Load:
        """Returns the report of the node."""
        report = Load(DOCS_SLOTS, 6, DOCS_SLOTS, 122.0, True, NO_REVISION, False, True)
        if self.window is None:
            return report
        return attrs.evolve(
            report,
            busy=len(self.ends_s),
            queued=0,
            cold_left_ms=3000,
            cold_free_starts=int(self.window.free_starts(now_s)),
            paced_per_s=BOUND / WINDOW_S,
        )


def test_all_instances_of_a_zone_come_back_while_the_others_are_full():
    """Guards against a crash of the returning instances, an idle one, and one that gets all.

    The docs instances of zone a come back cold in a burst of deployment A; those of the other zones
    are full.
    """
    rng, nodes, listed = Random(3), {}, []
    for zone, number in DOCS_BY_ZONE.items():
        for n in range(number):
            window = None
            if zone == "a":
                window = StartWindow(in_force=True)
                window.set_bound(BOUND)
            listed.append(instance(f"{zone}-{n}", zone=zone, host=f"10.0.{ord(zone)}.{n}"))
            nodes[f"{zone}-{n}"] = DocsNode(window)
    senders = [(rng.choice("abcd"), InstanceViews()) for _ in range(84)]
    refused = 0
    for step in range(4 * DOCS_PER_S):
        now_s = 100.0 + step / DOCS_PER_S
        zone, views = rng.choice(senders)
        tried = []
        while len(tried) < 5:
            candidates = [i for i in listed if i.instance_id not in tried]
            chosen = choose_instance(candidates, views, zone, 0.1, rng, now_s)
            tried.append(chosen.instance_id)
            view, node = views.of(chosen.instance_id), nodes[chosen.instance_id]
            view.sent_since_report += 1
            taken = node.take(now_s)
            view.update_load(node.load(now_s), now_s)
            if taken:
                break
        else:
            refused += 1
    returned = [node.sent_s for name, node in nodes.items() if name.startswith("a")]
    assert all(most_in_a_second(sent_s) <= BOUND for sent_s in returned)
    # What the bound allows in 4 s, but for what the last second still has to send.
    counts = [len(sent_s) for sent_s in returned]
    assert min(counts) >= 3 * BOUND
    assert refused + sum(counts) == 4 * DOCS_PER_S


def test_senders_prefer_an_instance_that_is_not_paced():
    """Guards against requests that are refused first by each cold instance of a service."""
    views, rng = InstanceViews(), Random(3)
    report = Load(0, 0, DOCS_SLOTS, 122.0, True, NO_REVISION, False, True)
    cold, warm = instance("cold"), instance("warm", host="10.0.0.2")
    views.of("cold").update_load(
        attrs.evolve(report, cold_left_ms=3000, paced_per_s=BOUND / WINDOW_S), 100.0
    )
    views.of("warm").update_load(attrs.evolve(report, busy=4), 100.0)
    chosen = [choose_instance([cold, warm], views, "a", 0.0, rng, 100.0) for _ in range(50)]
    assert set(chosen) == {warm}
    views.of("warm").update_load(attrs.evolve(report, busy=5, queued=20), 100.0)
    chosen = [choose_instance([cold, warm], views, "a", 0.0, rng, 100.0) for _ in range(50)]
    assert set(chosen) == {cold}


load_tests = function_tests(__name__)
