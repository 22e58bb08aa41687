"""Tests of the route table, traffic splits and the configuration in force."""

from ibisrack.routing.holder import MAX_REPORTED_VERSION, ConfigurationHolder, OfferResult
from ibisrack.routing.model import Configuration, RoutePart
from ibisrack.routing.splits import Splitter
from ibisrack.routing.table import build_table
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import route


def configuration(version: int, *routes) -> Configuration:
    return Configuration(version, routes, {})


def test_the_longest_matching_prefix_of_the_host_is_selected():
    """Guards against selecting the route of a shorter prefix or of another host."""
    short, long = route("short", prefix="/a/"), route("long", prefix="/a/b/")
    other = route("other", host="else.example", prefix="/a/b/c/")
    table = build_table(configuration(1, short, long, other))
    assert table.find("desk.example", "/a/b/c/d") is long
    assert table.find("desk.example", "/a/b") is short
    assert table.find("DESK.example:80", "/a/b/") is long
    assert table.find("desk.example", "/ab/") is None
    assert table.find("none.example", "/a/") is None


def test_a_split_keeps_its_weights_over_short_sequences():
    """Guards against shares that hold only over thousands of requests."""
    split = route(parts=(RoutePart("x", 9), RoutePart("y", 1)))
    splitter = Splitter()
    chosen = [splitter.next_service(split) for _ in range(20)]
    assert chosen.count("y") == 2
    assert chosen[:10].count("y") == 1


def test_an_older_configuration_is_not_put_in_force():
    """Guards against replacing the configuration by an older version that arrives late."""
    holder = ConfigurationHolder()
    assert holder.offer(configuration(5, route("new"))) is OfferResult.IN_FORCE
    assert holder.offer(configuration(5)) is OfferResult.ALREADY_IN_FORCE
    assert holder.offer(configuration(4)) is OfferResult.OLDER
    assert holder.version == 5
    assert holder.table.find("desk.example", "/notices/1").name == "new"


def test_versions_beyond_64_bits_can_be_reported():
    """Guards against a load report that can't be encoded, or refusals without end after it."""
    holder = ConfigurationHolder()
    holder.offer(configuration(2**70, route("new")))
    assert holder.reported_version == MAX_REPORTED_VERSION
    assert not holder.is_older_than(MAX_REPORTED_VERSION)


load_tests = function_tests(__name__)
