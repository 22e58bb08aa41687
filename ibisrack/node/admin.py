"""HTTP server of the admin port: status, fleet, members, timeline, metrics, rules and drain."""

from collections.abc import Awaitable, Callable

import attrs
import msgspec
from aiohttp import web
from aioprometheus import render

from ibisrack.admin.messages import Load, Status
from ibisrack.calls.owner import Owner
from ibisrack.errors import RequestError
from ibisrack.node.metrics import collect
from ibisrack.node.rules_endpoint import add_rules_endpoint
from ibisrack.node.state import NodeState
from ibisrack.room.source import FleetSource
from ibisrack.timeline.query import from_query, select
from ibisrack.versions.messages import VersionState


def status_of(node: NodeState, owner: Owner) -> Status:
    """Returns the status of a node."""
    versions: VersionState = node.versions.state()
    refused = node.versions.refused
    own, load = node.members.own(), owner.gate.load()
    return Status(
        node_id=own.node_id,
        zone=own.zone,
        state=node.lifecycle.state,
        revision=versions.in_force.revision if versions.in_force else 0,
        digest=versions.in_force.digest.hex() if versions.in_force else "",
        refused_revision=refused.version_id.revision if refused else 0,
        refused_faults=tuple(str(fault) for fault in refused.faults) if refused else (),
        members=len(node.members.live()),
        load=Load(load.busy, load.queued, load.slots),
    )


def _json(value: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")


@attrs.define
class AdminServer:
    """Handles the requests of operators and their tools.

    Attributes:
      node: The node's state.
      owner: Runs calls on the local upstream; its gate shows the load.
      fleet_source: Returns the view of the fleet.
      drain: Starts a graceful stop.
    """

    node: NodeState
    owner: Owner
    fleet_source: FleetSource
    drain: Callable[[], Awaitable[None]]

    def application(self) -> web.Application:
        """Returns the web application with the routes of the admin port."""
        app = web.Application()
        app.router.add_get("/status", self.status)
        app.router.add_get("/fleet", self.fleet)
        app.router.add_get("/members", self.members)
        app.router.add_get("/timeline", self.timeline)
        app.router.add_get("/metrics", self.metrics)
        app.router.add_post("/drain", self.start_drain)
        add_rules_endpoint(app, self.node)
        return app

    async def status(self, request: web.Request) -> web.Response:
        """Answers with the node's status."""
        return _json(status_of(self.node, self.owner))

    async def fleet(self, request: web.Request) -> web.Response:
        """Answers with the view of the whole fleet."""
        return _json(await self.fleet_source.view())

    async def members(self, request: web.Request) -> web.Response:
        """Answers with the member table."""
        return _json(tuple(self.node.members.all()))

    async def timeline(self, request: web.Request) -> web.Response:
        """Answers with the recent events that match the query."""
        try:
            event_filter = from_query(request.query)
        except RequestError as error:
            raise web.HTTPBadRequest(text=f"{error}\n") from error
        return _json(select(self.node.log.entries(), event_filter))

    async def metrics(self, request: web.Request) -> web.Response:
        """Answers with the metrics in the Prometheus text format."""
        content, headers = render(
            collect(self.node, self.owner.gate), request.headers.getall("Accept", [])
        )
        return web.Response(body=content, headers=headers)

    async def start_drain(self, request: web.Request) -> web.Response:
        """Starts a graceful stop and answers with the node's status."""
        await self.drain()
        return _json(status_of(self.node, self.owner))
