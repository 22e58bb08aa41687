"""Tests of the choice between reading the registry and following peers."""

import attrs

from ibisrack.registry.sources import (
    MAX_CANDIDATES,
    READERS,
    Candidate,
    Sources,
    candidate_hosts,
    choose_sources,
)
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import TIMING

HOSTS = [f"10.0.0.{n}" for n in range(12)]
TAKEOVER_S = TIMING.takeover_s


def zone(delivering: set[str], lost: set[str] = frozenset(), fast: set[str] = frozenset()):
    """Returns twelve candidates, of which some deliver and some are not available."""
    return [Candidate(h, 70.0 if h in fast else 3.5, h not in lost, h in delivering) for h in HOSTS]


def sources(host: str, candidates: list[Candidate], undelivered_s: float = 0.0) -> Sources:
    """Returns the sources of a host, which sees itself as available."""
    own = attrs.evolve(next(c for c in candidates if c.host == host), available=True)
    return choose_sources(own, [c for c in candidates if c.host != host], undelivered_s, TAKEOVER_S)


def readers(candidates: list[Candidate], undelivered_s: float = 0.0) -> set[str]:
    """Returns the available hosts that read."""
    available = [c.host for c in candidates if c.available]
    return {host for host in available if sources(host, candidates, undelivered_s).reads}


def test_few_hosts_of_a_zone_read():
    """Guards against a fleet whose reads of the registry grow with its size."""
    first = readers(zone(set()))
    assert len(first) == READERS
    assert readers(zone(first)) == first
    assert all(set(sources(h, zone(first)).followed) == first for h in HOSTS if h not in first)


def test_hosts_with_fast_links_read():
    """Guards against transfers of a large configuration that delay requests on a slow link."""
    assert readers(zone(set(), fast={"10.0.0.3"})) == {"10.0.0.3"}
    fast = {"10.0.0.3", "10.0.0.8"}
    chosen = readers(zone(set(), fast=fast))
    assert len(chosen) == READERS
    assert chosen < fast


def test_loss_of_a_reader_makes_one_other_host_read():
    """Guards against a zone of which every host reads at once when its reader stops."""
    first = readers(zone(set()))
    candidates = zone(set(), lost=first)
    now = readers(candidates)
    assert len(now) == READERS
    assert not now & first
    delivering = zone(now, lost=first)
    followers = [h for h in HOSTS if h not in now and h not in first]
    assert all(sources(host, delivering).followed == tuple(now) for host in followers)


def test_a_reader_that_is_back_takes_over_without_a_gap():
    """Guards against followers that drop the peer that delivers before the other one does."""
    (first,) = readers(zone(set()))
    (second,) = readers(zone(set(), lost={first}))
    both = zone({first, second})
    followers = [h for h in HOSTS if h not in (first, second)]
    assert all(sources(host, both).followed == (first, second) for host in followers)
    assert not sources(second, both).reads


def test_readers_stay_few_while_all_hosts_are_lost_in_turn():
    """Guards against a rolling restart of a zone that makes all its hosts read."""
    for count in range(len(HOSTS)):
        lost = set(HOSTS[:count])
        assert len(readers(zone(set(), lost=lost))) == READERS


def test_a_host_reads_when_nobody_delivers_for_long():
    """Guards against a host that waits for peers that seem available and never deliver."""
    assert readers(zone(set()), TAKEOVER_S) == set(HOSTS)


def test_a_reader_whose_reads_fail_follows_others():
    """Guards against an old configuration on a host that alone is cut off from the registry."""
    (first,) = readers(zone(set()))
    (second,) = readers(zone(set(), lost={first}))
    peers = [c for c in zone({second}) if c.host != first]
    own = Candidate(first, 3.5, available=False, delivering=False)
    assert choose_sources(own, peers, 0.0, TAKEOVER_S) == Sources(True, (second,))


def test_peers_that_may_be_cut_off_are_followed_last():
    """Guards against followers of two readers that the registry doesn't reach any more."""
    (first,) = readers(zone(set()))
    (second,) = readers(zone(set(), lost={first}))
    (third,) = readers(zone(set(), lost={first, second}))
    candidates = zone({first, second, third}, lost={first, second})
    others = [h for h in HOSTS if h not in (first, second, third)]
    assert all(sources(host, candidates).followed == (third, first) for host in others)


def test_all_nodes_choose_the_same_candidates():
    """Guards against nodes of a large zone that look for readers among different hosts."""
    hosts = [f"10.1.{n // 200}.{n % 200}" for n in range(300)]
    assert candidate_hosts(hosts) == candidate_hosts(reversed(hosts))
    assert len(candidate_hosts(hosts)) == MAX_CANDIDATES


load_tests = function_tests(__name__)
