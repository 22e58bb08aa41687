"""Shared fixtures of tests and benchmarks: example rules files, records, calls and node states."""

# ruff: noqa: E501 (a rule can't be broken into several lines)

import time
import uuid
from random import Random

from ibisrack.calls.messages import Call
from ibisrack.membership.records import MemberRecord
from ibisrack.node.state import NodeState, create_node
from ibisrack.rules.model import RankRule, RouteRule
from ibisrack.settings.node import (
    IdentitySettings,
    ListenSettings,
    NodeSettings,
    PlatformSettings,
    UpstreamSettings,
)

PILBARA_RULES = b"""\
# Rules of Pilbara Heavy Haul Permits Group.
service notice-desk slots=6 connections=100  # Mei Tan: five desks since the merger
rank notice-desk lodgement order=1 share_percent=40  # Mei Tan: a lodgement never waits behind bulk
rank notice-desk approval order=2 share_percent=30  # R. Singh: gate checks at the depots
rank notice-desk bulk order=3 share_percent=15 max_slots=5  # J. Okafor: history exports wait
route POST notice-desk/notices to=notice-desk rank=lodgement deadline_ms=2000 idempotent=no  # Mei Tan: a duplicate notice parks a load
route GET notice-desk/approvals to=notice-desk rank=approval deadline_ms=1000 idempotent=yes  # R. Singh: gate checks
route GET notice-desk/exports to=notice-desk rank=bulk deadline_ms=10000 idempotent=yes  # J. Okafor: exports at night

service route-docs slots=6 connections=100  # Mei Tan: documents for the corridor
rank route-docs curfew order=1 share_percent=40  # R. Singh: a late curfew check holds drivers
rank route-docs plan order=2 share_percent=30  # P. Novak: pilot vehicle plans
rank route-docs bulk order=3 share_percent=15 max_slots=5  # J. Okafor: exports wait
route GET route-docs/curfews to=route-docs rank=curfew deadline_ms=800 idempotent=yes  # R. Singh: curfew checks
route GET route-docs/bridges to=route-docs rank=curfew deadline_ms=800 idempotent=yes  # R. Singh: bridge clearance
route GET route-docs/plans to=route-docs rank=plan deadline_ms=2000 idempotent=yes  # P. Novak: pilot plans
route GET route-docs/exports to=route-docs rank=bulk deadline_ms=10000 idempotent=yes  # J. Okafor: exports at night
"""

CHAPA_MAYA_RULES = b"""\
# Rules of Chapa Maya Enchapes.
service tienda slots=12 connections=120  # Lucia Ixcot: counter and shops
rank tienda order order=1 share_percent=30  # Lucia Ixcot: flitch orders and reservations
rank tienda lookup order=2 share_percent=30  # Diego Tum: counter lookups
rank tienda pricing order=3 share_percent=15  # Ana Batz: stock checks of pricing
rank tienda sync order=4 share_percent=15 max_slots=11  # Ana Batz: resellers sync at night
route POST tienda/orders to=tienda rank=order deadline_ms=2000 idempotent=no  # Lucia Ixcot: a duplicate bills twice
route POST tienda/reservations to=tienda rank=order deadline_ms=2000 idempotent=no  # Lucia Ixcot: same sheets once
route GET tienda/stock to=tienda rank=lookup deadline_ms=800 idempotent=yes  # Diego Tum: counter lookups
route GET tienda/pricing to=tienda rank=pricing deadline_ms=1500 idempotent=yes  # Ana Batz: pricing checks stock
route GET tienda/sync to=tienda rank=sync deadline_ms=20000 idempotent=yes  # Ana Batz: overnight price lists

service archivo slots=12 connections=120  # Lucia Ixcot: photos and scans
rank archivo photo order=1 share_percent=40  # Diego Tum: photos at the counter
rank archivo spec order=2 share_percent=20  # Diego Tum: spec sheets for architects
rank archivo scan order=3 share_percent=25 max_slots=11  # P. Marroquin: architects will wait
route GET archivo/photos to=archivo rank=photo deadline_ms=1000 idempotent=yes  # Diego Tum: counter photos
route GET archivo/specs to=archivo rank=spec deadline_ms=5000 idempotent=yes  # Diego Tum: spec sheets
route GET archivo/scans to=archivo rank=scan deadline_ms=30000 idempotent=yes  # P. Marroquin: scans
"""


def many_services_rules(service_count: int, note: str = "declared for the fleet") -> bytes:
    """Returns a rules file with seven rules for each service.

    Args:
      service_count: Number of services.
      note: Text in the first line; different notes give different contents.
    """
    lines = [f"# Fleet rules.  Edited for: {note}"]
    for number in range(service_count):
        name = f"service-{number:04d}"
        lines += [
            f"service {name} slots=8 connections=100  # Mei Tan: capacity of {name}",
            f"rank {name} urgent order=1 share_percent=40  # Mei Tan: urgent work of {name}",
            f"rank {name} normal order=2 share_percent=30  # R. Singh: daily work of {name}",
            f"rank {name} bulk order=3 share_percent=15 max_slots=7  # J. Okafor: exports wait",
            f"route POST {name}/orders to={name} rank=urgent deadline_ms=2000 idempotent=no"
            "  # Mei Tan: orders run once",
            f"route GET {name}/lookups to={name} rank=normal deadline_ms=800 idempotent=yes"
            "  # R. Singh: lookups at the counter",
            f"route GET {name}/exports to={name} rank=bulk deadline_ms=9000 idempotent=yes"
            "  # J. Okafor: exports at night",
        ]
    return ("\n".join(lines) + "\n").encode()


def member(node_id: str, **fields) -> MemberRecord:
    """Returns a member record with defaults for a test."""
    place = {"service": "notice-desk", "zone": "z", "region": "r", "host": "127.0.0.1"}
    ports = {"call_port": 1, "peer_port": 2, "admin_port": 3}
    return MemberRecord(node_id=node_id, **{**place, **ports, **fields})


def rank_rule(rank: str, **fields) -> RankRule:
    """Returns a rank rule with defaults for a test."""
    origin = {"line": 1, "requester": "Mei Tan", "reason": "test", "service": "notice-desk"}
    return RankRule(rank=rank, **{**origin, "order": 1, "share_percent": 0, **fields})


def route_rule(**fields) -> RouteRule:
    """Returns a route rule with defaults for a test."""
    origin = {"line": 1, "requester": "Mei Tan", "reason": "test"}
    target = {"method": "POST", "match": "notice-desk/notices", "to": "notice-desk"}
    traits = {"rank": "lodgement", "deadline_ms": 2000, "idempotent": False}
    return RouteRule(**{**origin, **target, **traits, **fields})


def create_call(retry_right: bool = True, key: str = "", body: bytes = b"", **fields) -> Call:
    """Returns a call with defaults for a test.

    Args:
      retry_right: Whether this layer of the chain of calls may retry the call.
      key: Idempotency key, empty for none.
      body: Request body.
      fields: Fields of the call's route that differ from the defaults.
    """
    route = route_rule(**fields)
    return Call("call-1", "POST", "/notices", {}, body, route, 1, 1e9, 0, retry_right, key)


def bare_node(
    node_id: str, zone: str = "z", region: str = "r", seed: int = 1, peer_port: int = 2
) -> NodeState:
    """Returns the state of a node that has just started, without tasks or servers."""
    settings = NodeSettings(
        IdentitySettings(node_id, "notice-desk", zone, region),
        ListenSettings("127.0.0.1", 1, peer_port, 3),
        UpstreamSettings("http://127.0.0.1:4"),
        PlatformSettings("http://127.0.0.1:5"),
    )
    return create_node(settings, Random(seed))


def new_idempotency_key() -> str:
    """Returns an idempotency key of the current time: a UUIDv7, RFC 9562, section 5.7."""
    return str(uuid.UUID(int=(int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | 5))
