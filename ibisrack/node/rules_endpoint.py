"""Admin endpoint that returns the rules file in force."""

import msgspec
from aiohttp import web

from ibisrack.admin.messages import RulesText
from ibisrack.node.state import NodeState


def rules_text(node: NodeState) -> RulesText:
    """Returns the rules file in force; without one, revision 0 and empty content."""
    candidate = node.versions.in_force
    if candidate is None:
        return RulesText(0, "", "")
    content = b"".join(node.versions.chunks(candidate.manifest.chunk_digests))
    version_id = candidate.version_id
    return RulesText(version_id.revision, version_id.digest.hex(), content.decode())


def add_rules_endpoint(app: web.Application, node: NodeState) -> None:
    """Adds ``GET /rules`` to the application of the admin port."""

    async def rules(request: web.Request) -> web.Response:
        body = msgspec.json.encode(rules_text(node))
        return web.Response(body=body, content_type="application/json")

    app.router.add_get("/rules", rules)
