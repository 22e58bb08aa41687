"""Reads bodies of HTTP messages up to a limit on their size."""

from aiohttp import StreamReader

from ibisrack.errors import MessageError


async def read_bounded(content: StreamReader, max_bytes: int) -> bytes:
    """Reads a whole body.

    Raises:
      MessageError: The body is larger than ``max_bytes``; the rest of it is not read.
    """
    # As a list of parts, a body that trickles in would take many times the memory of its bytes.
    body = bytearray()
    while part := await content.readany():
        body += part
        if len(body) > max_bytes:
            raise MessageError(f"the body is larger than {max_bytes} bytes")
    return bytes(body)
