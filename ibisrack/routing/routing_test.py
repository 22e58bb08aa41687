"""Tests of routes, splits and the configuration in force."""

from ibisrack.routing.holder import ConfigurationHolder, Verdict
from ibisrack.routing.model import Configuration, Part
from ibisrack.routing.splits import Splitter
from ibisrack.routing.table import build_table
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import route


def configuration(version: int, *routes) -> Configuration:
    return Configuration(version, routes, {})


def test_the_longest_prefix_of_the_host_wins():
    """Guards against a request that goes to the route of a shorter prefix or another host."""
    short, long = route("short", prefix="/a/"), route("long", prefix="/a/b/")
    other = route("other", host="else.example", prefix="/a/b/c/")
    table = build_table(configuration(1, short, long, other))
    assert table.find("desk.example", "/a/b/c/d") is long
    assert table.find("desk.example", "/a/b") is short
    assert table.find("DESK.example:80", "/a/b/") is long
    assert table.find("desk.example", "/ab/") is None
    assert table.find("none.example", "/a/") is None


def test_a_split_keeps_its_weights_over_short_runs():
    """Guards against shares that only hold over thousands of requests."""
    split = route(parts=(Part("x", 9), Part("y", 1)))
    splitter = Splitter()
    chosen = [splitter.service(split) for _ in range(20)]
    assert chosen.count("y") == 2
    assert chosen[:10].count("y") == 1


def test_the_configuration_never_moves_back():
    """Guards against an older version that arrives late."""
    holder = ConfigurationHolder()
    assert holder.offer(configuration(5, route("new"))) is Verdict.IN_FORCE
    assert holder.offer(configuration(5)) is Verdict.KNOWN
    assert holder.offer(configuration(4)) is Verdict.OLDER
    assert holder.version == 5
    assert holder.table.find("desk.example", "/notices/1").name == "new"


load_tests = function_tests(__name__)
