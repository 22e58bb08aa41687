"""Tests of the choice between reading the registry and following peers."""

from ibisrack.registry.sources import (
    FOLLOWED_PEERS,
    MAX_CANDIDATES,
    Candidate,
    candidate_hosts,
    choose_followed,
)
from ibisrack.testing.functions import function_tests


def zone(delivering: set[str], fast: tuple[str, ...] = ()) -> list[Candidate]:
    """Returns twelve candidates."""
    hosts = [f"10.0.0.{n}" for n in range(12)]
    return [Candidate(h, 70.0 if h in fast else 3.5, h in delivering) for h in hosts]


def followed(host: str, candidates: list[Candidate]) -> tuple[str, ...]:
    """Returns the peers that a host follows."""
    own = next(c for c in candidates if c.host == host)
    return choose_followed(own, [c for c in candidates if c.host != host])


def test_few_hosts_of_a_zone_read_when_all_know_each_other():
    """Guards against a fleet whose reads of the registry grow with its size."""
    hosts = {c.host for c in zone(set())}
    assert sum(not followed(host, zone(hosts)) for host in hosts) == FOLLOWED_PEERS


def test_hosts_with_fast_links_read():
    """Guards against transfers of a large configuration that delay requests on a slow link."""
    fast = ("10.0.0.3", "10.0.0.8")
    candidates = zone({c.host for c in zone(set())}, fast)
    assert set(followed("10.0.0.1", candidates)) == set(fast)
    assert followed("10.0.0.3", candidates) == ()


def test_a_host_reads_when_too_few_peers_deliver():
    """Guards against a host that relies on peers that lost the registry or are silent."""
    candidates = zone({"10.0.0.3"}, ("10.0.0.3", "10.0.0.8"))
    assert followed("10.0.0.1", candidates) == ()


def test_followers_take_over_from_lost_readers_in_order():
    """Guards against a zone in which nobody, or everybody, reads after its readers are lost."""
    hosts = {c.host for c in zone(set())}
    readers = {host for host in hosts if not followed(host, zone(hosts))}
    rest = hosts - readers
    assert sum(not followed(host, zone(rest)) for host in rest) == FOLLOWED_PEERS


def test_all_nodes_choose_the_same_candidates():
    """Guards against nodes of a large zone that look for readers among different hosts."""
    hosts = [f"10.1.{n // 200}.{n % 200}" for n in range(300)]
    assert candidate_hosts(hosts) == candidate_hosts(reversed(hosts))
    assert len(candidate_hosts(hosts)) == MAX_CANDIDATES


load_tests = function_tests(__name__)
