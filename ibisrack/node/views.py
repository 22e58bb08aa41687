"""Admin endpoints for the operators' tools: the rules in force and what they did."""

from collections.abc import Callable

import msgspec
from aiohttp import web

from ibisrack.admin.messages import Report, RulesText, Work
from ibisrack.clocks import read_clocks
from ibisrack.node.state import NodeState


def rules_text(node: NodeState) -> RulesText:
    """Returns the rules file in force; revision 0 and no content when there is none."""
    candidate = node.versions.in_force
    if candidate is None:
        return RulesText(0, "", "")
    content = b"".join(node.versions.chunks(candidate.manifest.chunk_digests))
    version_id = candidate.version_id
    return RulesText(version_id.revision, version_id.digest.hex(), content.decode())


def work_of(node: NodeState) -> Work:
    """Returns what each rule did at a node in the last minute."""
    return node.tally.work(node.members.own_id, read_clocks().monotonic_s)


def json_response(value: object) -> web.Response:
    """Returns a typed answer as JSON."""
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")


def add_views(app: web.Application, node: NodeState, status: Callable[[], object]) -> None:
    """Adds the endpoints to the admin server.

    Args:
      app: The admin server's application.
      node: The node's state.
      status: Returns the answer of GET /status.
    """

    async def rules(request: web.Request) -> web.Response:
        return json_response(rules_text(node))

    async def work(request: web.Request) -> web.Response:
        return json_response(work_of(node))

    async def report(request: web.Request) -> web.Response:
        return json_response(Report(status(), work_of(node)))

    app.router.add_get("/rules", rules)
    app.router.add_get("/report", report)
    app.router.add_get("/work", work)
