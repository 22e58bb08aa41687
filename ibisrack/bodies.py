"""Reads bodies of HTTP messages up to a limit on their size."""

from io import BytesIO

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestPayloadError

from ibisrack.errors import MessageError, RequestError


async def read_bounded(content: StreamReader, max_bytes: int) -> bytes:
    """Reads a whole body.

    Raises:
      MessageError: The body is larger than ``max_bytes``; the rest of it is not read.
    """
    # As a list of parts, a body that trickles in would take many times the memory of its bytes, and
    # a bytearray would be copied at the end.
    body = BytesIO()
    while part := await content.readany():
        if body.tell() + len(part) > max_bytes:
            raise MessageError(f"the body is larger than {max_bytes} bytes")
        body.write(part)
    return body.getvalue()


async def read_request_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Reads the body of a request.

    Raises:
      RequestError: The body is larger than ``max_bytes``, or malformed.
    """
    if not request.can_read_body:
        return b""
    if (request.content_length or 0) > max_bytes:
        raise RequestError(f"the body is larger than {max_bytes} bytes", 413)
    if request.headers.get("Expect", "").lower() == "100-continue":
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    try:
        return await read_bounded(request.content, max_bytes)
    except MessageError as error:
        raise RequestError(str(error), 413) from error
    except RequestPayloadError as error:
        raise RequestError("the body is not valid HTTP") from error
