"""Serves the metrics of a sidecar over HTTP."""

from aiohttp import web

from ibisrack.sidecar.node import SidecarNode

PATH = "/metrics"


class MetricsServer(web.Server):
    """HTTP server that answers scrapes of the metrics."""

    def __init__(self, node: SidecarNode) -> None:
        super().__init__(self._handle, access_log=None)
        self._node = node

    async def _handle(self, message: web.BaseRequest) -> web.Response:
        # Loaded at the first scrape, because a start must not wait for the metrics library.
        from ibisrack.sidecar.metrics import render_metrics

        if message.path != PATH:
            return web.Response(status=404)
        content, headers = render_metrics(self._node, message.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)
