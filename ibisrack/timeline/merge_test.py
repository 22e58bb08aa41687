"""Tests of merging and filtering events and of tracing calls."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ibisrack.admin.messages import decode
from ibisrack.errors import MessageError, RequestError
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz
from ibisrack.timeline.clock import Timestamp
from ibisrack.timeline.events import CallFinished, VersionActivated
from ibisrack.timeline.log import EventLog
from ibisrack.timeline.log_lines import read_log_lines
from ibisrack.timeline.merge import Record, merge, trace
from ibisrack.timeline.query import EventFilter, from_query, select, to_query


def _call(role: str, peer: str, outcome: str = "done", reason: str = "") -> CallFinished:
    return CallFinished("c1", role, "s", "r", 7, "Mei Tan", outcome, reason, peer, 3, 4.5)


def _records(node_id: str, *events: tuple[int, object]) -> list[Record]:
    log = EventLog(node_id, 100)
    for wall_ms, event in events:
        log.record(event, wall_ms)
    return decode(msgspec.json.encode(log.entries()), list[Record])


def test_merge_orders_events_by_timestamp():
    """Guards against a timeline that lists the events node by node."""
    a = _records("a", (10, VersionActivated(1, "x", 0)), (30, VersionActivated(3, "x", 1)))
    b = _records("b", (20, VersionActivated(1, "x", 0)))
    assert [record.node_id for record in merge([a, b])] == ["a", "b", "a"]


def test_each_filter_field_selects_events():
    """Guards against a filter field that is ignored, and a limit that keeps the oldest events."""
    records = _records("a", (1, VersionActivated(2, "x", 1)), (2, _call("ingress", "b")))
    assert len(select(records, EventFilter(revision=2))) == 1
    assert len(select(records, EventFilter(call_id="c1"))) == 1
    assert len(select(records, EventFilter(kind="versionactivated"))) == 1
    assert len(select(records, EventFilter(node_id="a"))) == 2
    assert not select(records, EventFilter(node_id="z"))
    assert [r.stamp.wall_ms for r in select(records, EventFilter(limit=1))] == [2]


def test_node_and_ibisctl_select_the_same_events():
    """Guards against a node that filters out events that ibisctl would show."""
    log = EventLog("a", 100)
    log.record(VersionActivated(2, "x", 1), 1)
    log.record(_call("ingress", "b"), 2)
    records = decode(msgspec.json.encode(log.entries()), list[Record])
    for event_filter in (EventFilter(revision=1), EventFilter(call_id="c1"), EventFilter(limit=1)):
        assert from_query(to_query(event_filter)) == event_filter
        selected = select(log.entries(), event_filter)
        assert [e.kind for e in selected] == [r.kind for r in select(records, event_filter)]


_QUERIES = st.dictionaries(st.sampled_from(["revision", "limit", "kind", "x"]), st.text(max_size=6))


@fuzz(300)
@given(_QUERIES)
def test_any_query_is_decoded_or_refused_with_400(query):
    """Guards against a malformed query that raises anything but a RequestError."""
    try:
        event_filter = from_query(query)
    except RequestError as error:
        assert error.status == 400
        return
    assert event_filter.limit >= 0


def test_trace_finds_both_nodes_and_the_requester():
    """Guards against a trace that lacks a node of the call or the route that applied."""
    merged = merge(
        [_records("a", (20, _call("ingress", "b"))), _records("b", (10, _call("owner", "b")))]
    )
    (call_trace,) = trace(merged, "c1")
    assert (call_trace.ingress_node, call_trace.owner_node) == ("a", "b")
    assert (call_trace.rule_line, call_trace.requester, call_trace.revision) == (7, "Mei Tan", 3)


def test_trace_of_a_refused_call_names_the_last_owner():
    """Guards against a trace without owner: the ingress event of a refusal names no peer."""
    merged = merge(
        [
            _records("a", (30, _call("ingress", "", "not-run", "queue-full"))),
            _records("b", (10, _call("owner", "", "not-run", "queue-full"))),
            _records("c", (20, _call("owner", "", "not-run", "queue-full"))),
        ]
    )
    found = trace(merged, "c1")
    assert (found[0].ingress_node, found[0].owner_node, found[0].reason) == ("a", "c", "queue-full")
    assert (found[1].ingress_node, found[1].owner_node) == ("", "b")


def test_trace_without_an_owner_event_names_no_owner():
    """Guards against a failed call whose trace names a node that did not answer it."""
    (call_trace,) = trace(
        _records("a", (1, _call("ingress", "", "unknown", "connection-lost"))), "c1"
    )
    assert call_trace.owner_node == ""


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
_EVENTS = st.dictionaries(
    st.sampled_from(["call_id", "role", "peer", "revision", "rule_line", "duration_ms"]),
    st.sampled_from(["c1", "ingress", "owner", 3]) | _JSON,
)


@fuzz(300)
@given(st.lists(st.tuples(st.integers(), st.integers(), st.text(max_size=3), _EVENTS), max_size=6))
def test_malformed_call_events_raise_no_errors(rows):
    """Guards against the timeline of an unknown build that makes ibisctl fail."""
    records = [Record(Timestamp(w, c), n, "CallFinished", e) for w, c, n, e in rows]
    merged = merge([records[:3], records[3:]])
    assert len(merged) == len(records)
    trace(merged, "c1")


@fuzz(300)
@given(st.binary(max_size=60) | _JSON.map(msgspec.json.encode))
def test_malformed_timelines_are_refused(body):
    """Guards against an invalid answer that raises anything but a MessageError."""
    try:
        records = decode(body, list[Record])
    except MessageError:
        return
    assert all(isinstance(record, Record) for record in records)


def test_deeply_nested_answer_is_malformed():
    """Guards against an answer of a node that ends a command or a screen with a traceback."""
    nested = b"[" * 5000 + b"]" * 5000
    for body in (nested, b'[{"odd":' + nested + b"}]"):
        try:
            decode(body, tuple[Record, ...])
        except MessageError:
            continue
        raise AssertionError(body[:50])


def test_log_line_of_any_shape_is_a_record_or_skipped():
    """Guards against one odd line that ends the reading of a log."""
    nested = "[" * 5000 + "]" * 5000
    stamp = '"timestamp":"2024-01-01T00:00:00"'
    lines = [nested, f'{{{stamp},"message":{nested}}}', "{" + stamp + "}", "9" * 5000]
    valid = f'{{{stamp},"message":"started"}}'
    assert [record.kind for record in read_log_lines([*lines, valid], "a")] == ["started"]


load_tests = function_tests(__name__)
