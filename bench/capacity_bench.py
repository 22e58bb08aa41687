"""Memory and processor time that a node needs per member, rule and event, without I/O.

docs/CAPACITY.md multiplies these by the sizes of the target deployment.
"""

import tracemalloc
from collections.abc import Callable

import ibisrack.exchange.registry  # noqa: F401
from bench.measures import Measure
from bench.timing import mean_cpu_s
from ibisrack.clocks import Instant
from ibisrack.exchange.codec import decode_frame, encode_frame
from ibisrack.exchange.dispatch import handle_messages, header_messages
from ibisrack.membership.election import elect_readers
from ibisrack.membership.gossip import transmit_limit
from ibisrack.membership.messages import MembersUpdate
from ibisrack.node.state import NodeState
from ibisrack.testing.fixtures import bare_node, many_services_rules, member
from ibisrack.timeline.events import CallFinished
from ibisrack.timeline.log import EventLog
from ibisrack.versions.chunks import chunk_version
from ibisrack.versions.handlers import stage_version

MEASURES = (
    "memory_per_member_bytes",
    "memory_per_rule_bytes",
    "memory_per_call_event_bytes",
    "member_table_frame_bytes_1300",
    "idle_exchange_cpu_us_325",
    "idle_exchange_cpu_us_650",
    "idle_exchange_cpu_us_1300",
    "member_update_cpu_us_per_record",
    "link_choice_cpu_ms_1300",
    "reader_election_cpu_ms_1300",
    "stage_change_cpu_ms_250_services",
    "stage_first_cpu_ms_250_services",
)
ZONES = 12
FLEET_SIZE = 1300
NOW = Instant(100.0, 1_796_000_000_000)


def _member(index: int):
    zone = index % ZONES
    return member(
        f"service-{index % 250:04d}-{index:04d}",
        service=f"service-{index % 250:04d}",
        zone=f"zone-{zone:02d}",
        region=f"region-{zone % 3}",
        peer_port=10_000 + index,
    )


def _node_with_members(count: int, name: str = "own") -> NodeState:
    """Returns a node that has sent all its member records to peers."""
    node = bare_node(name)
    for index in range(count):
        node.apply_record(_member(index), NOW)
    node_ids = [record.node_id for record in node.members.all()]
    for peer in range(transmit_limit(1)):
        node.gossip.mark_sent(f"peer-{peer}", node_ids, 1)
    return node


def _allocated_bytes(build: Callable[[], object]) -> int:
    """Returns the bytes that a built object occupies."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return after - before


def _idle_exchange_us(member_count: int) -> float:
    """Returns the processor time of both sides of an exchange without changes."""
    node, peer = _node_with_members(member_count), _node_with_members(member_count)

    def exchange() -> None:
        request = encode_frame((*header_messages(node, NOW), node.members.digest()))
        replies = handle_messages(decode_frame(request), peer, NOW)
        answer = encode_frame((*header_messages(peer, NOW), *replies))
        handle_messages(decode_frame(answer), node, NOW)

    return mean_cpu_s(exchange, 200) * 1e6


def _member_update_us() -> float:
    records = tuple(_member(index) for index in range(FLEET_SIZE))
    frame = encode_frame((*header_messages(bare_node("peer"), NOW), MembersUpdate(records)))
    return (
        mean_cpu_s(lambda: handle_messages(decode_frame(frame), bare_node("own"), NOW), 3)
        * 1e6
        / FLEET_SIZE
    )


def _full_event_log() -> EventLog:
    log = EventLog("n", FLEET_SIZE)
    for index in range(FLEET_SIZE):
        event = CallFinished(
            f"call-{index}", "owner", "service-0001", "urgent", 7, "Mei Tan", "done", "",
            f"node-{index % 50}", 12, 4.2 + index,
        )  # fmt: skip
        log.record(event, 1_796_000_000_000 + index)
    return log


def _activate_rules(node: NodeState, revision: int, note: str) -> NodeState:
    stage_version(node, chunk_version(revision, many_services_rules(250, note)), NOW)
    node.versions.activate()
    return node


def _stage_change_ms() -> float:
    node = _activate_rules(bare_node("own"), 1, "first")
    versions = [chunk_version(r, many_services_rules(250, f"change {r}")) for r in range(2, 8)]
    pending = iter(versions)

    def change() -> None:
        stage_version(node, next(pending), NOW)
        node.versions.activate()

    return mean_cpu_s(change, len(versions)) * 1e3


def run() -> list[Measure]:
    """Measures memory, frame size and processor time."""
    node = _node_with_members(FLEET_SIZE)
    records = tuple(node.members.all())
    rules = many_services_rules(250).count(b"\n") - 1
    return [
        Measure(
            "memory_per_member_bytes",
            _allocated_bytes(lambda: _node_with_members(FLEET_SIZE)) / FLEET_SIZE,
            "B",
        ),
        Measure(
            "memory_per_rule_bytes",
            _allocated_bytes(lambda: _activate_rules(bare_node("own"), 1, "first")) / rules,
            "B",
        ),
        Measure("memory_per_call_event_bytes", _allocated_bytes(_full_event_log) / FLEET_SIZE, "B"),
        Measure("member_table_frame_bytes_1300", len(encode_frame([MembersUpdate(records)])), "B"),
        *(
            Measure(f"idle_exchange_cpu_us_{size}", _idle_exchange_us(size), "us")
            for size in (325, 650, 1300)
        ),
        Measure("member_update_cpu_us_per_record", _member_update_us(), "us"),
        Measure("link_choice_cpu_ms_1300", mean_cpu_s(node.refresh_links, 5) * 1e3, "ms"),
        Measure(
            "reader_election_cpu_ms_1300",
            mean_cpu_s(lambda: elect_readers("zone-01", node.members.all()), 20) * 1e3,
            "ms",
        ),
        Measure("stage_change_cpu_ms_250_services", _stage_change_ms(), "ms"),
        Measure(
            "stage_first_cpu_ms_250_services",
            mean_cpu_s(lambda: _activate_rules(bare_node("own"), 1, "first"), 5) * 1e3,
            "ms",
        ),
    ]
