"""Carries frames between nodes over gRPC: one generic unary method, bytes in and bytes out."""

from collections.abc import Callable

import grpc
from grpc.aio import AioRpcError, Channel, Server, insecure_channel
from grpc.aio import server as create_server

from ibisrack.errors import MessageError, PeerError
from ibisrack.exchange.codec import MAX_FRAME_BYTES

METHOD = "/ibisrack.Exchange/Exchange"

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES + 1024),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES + 1024),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.use_local_subchannel_pool", 1),
)


class _FrameHandler(grpc.GenericRpcHandler):
    """Serves METHOD with a function from frame to frame."""

    def __init__(self, serve: Callable[[bytes], bytes]) -> None:
        self._serve = serve

    def service(self, handler_call_details):  # noqa: ANN001, ANN201
        """Returns the handler of a method, None for unknown ones."""
        if handler_call_details.method != METHOD:
            return None
        return grpc.unary_unary_rpc_method_handler(self._exchange)

    async def _exchange(self, frame: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            return self._serve(frame)
        except MessageError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))


async def start_server(address: str, serve: Callable[[bytes], bytes]) -> Server:
    """Starts the server for peers.

    Args:
      address: IP:PORT to listen on.
      serve: Turns a request frame into an answer frame; may raise MessageError.
    """
    server = create_server(options=_OPTIONS)
    server.add_generic_rpc_handlers((_FrameHandler(serve),))
    server.add_insecure_port(address)
    await server.start()
    return server


def open_channel(address: str) -> Channel:
    """Opens a channel to a peer; the connection is made with the first exchange."""
    return insecure_channel(address, options=_OPTIONS)


async def send_frame(channel: Channel, frame: bytes, timeout_s: float) -> bytes:
    """Sends a frame and returns the answer.

    Raises:
      PeerError: The peer did not answer in time or refused the frame.
    """
    try:
        return await channel.unary_unary(METHOD)(frame, timeout=timeout_s)
    except AioRpcError as error:
        raise PeerError(f"{error.code().name}: {error.details()}") from error
