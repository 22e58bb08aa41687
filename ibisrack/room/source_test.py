"""Tests of the fleet view of a node that is not a collector, over TCP."""

from ibisrack.clocks import read_clocks
from ibisrack.exchange.exchanger import Exchanger
from ibisrack.exchange.http_transport import start_server
from ibisrack.membership.election import elect_collectors
from ibisrack.membership.table import MemberTable
from ibisrack.node.state import NodeState
from ibisrack.room.partners import own_collectors
from ibisrack.room.reporter import Reporter
from ibisrack.room.source import FleetSource
from ibisrack.room.status import ReportSchedule, status_report
from ibisrack.testing.fixtures import bare_node
from ibisrack.testing.functions import function_tests


def _zone(ports: tuple[int, ...]) -> list[NodeState]:
    """Returns the nodes of one zone with complete member tables, the collectors first."""
    nodes = [bare_node(f"n{i}", peer_port=port) for i, port in enumerate(ports)]
    records = [node.members.own() for node in nodes]
    tables: list[MemberTable] = [node.members for node in nodes]
    for table in tables:
        for record in records:
            table.apply(record)
    collectors = [m.node_id for m in elect_collectors("z", records)]
    return sorted(nodes, key=lambda node: node.members.own_id not in collectors)


async def test_node_reports_to_its_collector_and_shows_the_summary():
    """Guards against reports and summary requests that the peer server can't answer."""
    exchangers = {}
    servers = []
    for number in range(3):
        server = await start_server("127.0.0.1", 0, lambda f, n=number: exchangers[n].serve(f))
        servers.append((server, server.addresses[0][1]))
    nodes = _zone(tuple(port for _, port in servers))
    for node in nodes:
        exchangers[int(node.members.own_id[1:])] = Exchanger(node, lambda: None)
    reporting_node = nodes[-1]
    exchanger = exchangers[int(reporting_node.members.own_id[1:])]
    reporter = Reporter(exchanger, ReportSchedule(reporting_node.rng))
    try:
        for collector in own_collectors(reporting_node.members.own(), reporting_node.members.all()):
            assert await reporter._send(collector.peer_address)
        for node in nodes[:2]:
            now = read_clocks()
            node.room.store_report(status_report(node, now), now.monotonic_s)
            node.room.summarize(node.members.own(), node.members.all(), now.monotonic_s)
        view = await FleetSource(exchanger).view()
    finally:
        for server, _ in servers:
            await server.cleanup()
    (zone,) = view.zones
    assert zone.collector in (node.members.own_id for node in nodes[:2])
    assert zone.by_state == {"starting": 2}, "the collector's own report and the one sent to it"


load_tests = function_tests(__name__)
