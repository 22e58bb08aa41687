"""HTTP transport of frames: one POST for each frame, over one connection for each peer.

The transport uses aiohttp rather than grpcio, whose library alone takes a node to its memory limit
of 64 MB (docs/design.md, section 5.3).
"""

import asyncio
from collections.abc import Callable
from typing import Self

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout, DummyCookieJar, TCPConnector, web
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge

from ibisrack.errors import MessageError, PeerError
from ibisrack.exchange.codec import MAX_FRAME_BYTES

EXCHANGE_PATH = "/exchange"
KEEPALIVE_TIMEOUT_S = 60.0  # Longer than the time between two exchanges of a link.
MAX_ERROR_TEXT_LENGTH = 200

_OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@attrs.frozen
class Channel:
    """A connection to a peer, opened with the first frame; an asynchronous context manager.

    Attributes:
      url: URL to which frames for the peer are posted.
      session: Client session used by this channel only.
    """

    url: str
    session: ClientSession

    async def __aenter__(self) -> Self:
        """Returns the channel."""
        return self

    async def __aexit__(self, *error: object) -> None:
        """Closes the connection."""
        await self.close()

    async def close(self) -> None:
        """Closes the connection."""
        await self.session.close()


@attrs.frozen
class FrameServer:
    """HTTP handler that answers each request frame.

    Attributes:
      serve: Returns the answer to a request frame; may raise MessageError.
    """

    serve: Callable[[bytes], bytes]

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answers one request."""
        if request.method != "POST" or request.path != EXCHANGE_PATH:
            return web.Response(status=404)
        try:
            frame = await request.read()
            return web.Response(body=self.serve(frame))
        except HTTPRequestEntityTooLarge:
            return web.Response(status=413)
        except web.RequestPayloadError:
            return web.Response(status=400, text="the body is malformed or not complete")
        except MessageError as error:
            return web.Response(status=400, text=str(error)[:MAX_ERROR_TEXT_LENGTH])


def _request_factory(message, payload, protocol, writer, task) -> web.BaseRequest:  # noqa: ANN001
    """Creates requests that accept bodies of up to MAX_FRAME_BYTES."""
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=MAX_FRAME_BYTES,
    )


async def start_server(host: str, port: int, serve: Callable[[bytes], bytes]) -> web.ServerRunner:
    """Starts the server for peers.

    Args:
      host: IP number to listen on.
      port: TCP port.
      serve: Returns the answer to a request frame; may raise MessageError.
    """
    server = web.Server(
        FrameServer(serve).handle,
        request_factory=_request_factory,
        access_log=None,
        keepalive_timeout=2 * KEEPALIVE_TIMEOUT_S,
        auto_decompress=False,  # Frames are compressed; an encoded body could expand without bound.
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=1024).start()
    return runner


def open_channel(address: str) -> Channel:
    """Opens a channel to a peer.

    Args:
      address: IP:PORT of the peer.
    """
    session = ClientSession(
        connector=TCPConnector(limit=1, keepalive_timeout=KEEPALIVE_TIMEOUT_S, ttl_dns_cache=None),
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_OMITTED_HEADERS,
    )
    return Channel(f"http://{address}{EXCHANGE_PATH}", session)


async def send_frame(channel: Channel, frame: bytes, timeout_s: float) -> bytes:
    """Sends a frame and returns the answer.

    Raises:
      PeerError: The peer did not answer in time or refused the frame.
    """
    timeout = ClientTimeout(total=timeout_s)
    try:
        async with channel.session.post(channel.url, data=frame, timeout=timeout) as answer:
            body = await answer.content.read(MAX_FRAME_BYTES)
            while not answer.content.at_eof() and len(body) < MAX_FRAME_BYTES:
                body += await answer.content.read(MAX_FRAME_BYTES - len(body))
            if answer.status != 200:
                raise PeerError(f"status {answer.status}: {body[:MAX_ERROR_TEXT_LENGTH]!r}")
            return body
    except (ClientError, OSError, TimeoutError) as error:
        raise PeerError(f"{type(error).__name__}: {error}") from error
