"""Header names of the platform's HTTP protocol, and the encoding of forwarded headers."""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"
CALLER_SERVICE = "Caller-Service"
EXPECTED_INSTANCE = "Expected-Instance"
INSTANCE_ID = "Instance-Id"
# In a response: the instance did not run the request.
NOT_EXECUTED = "Not-Executed"
# In a response: proves that the instance produced it.
SIGNATURE = "Response-Signature"
# In a response: requests a second that the instance takes from all nodes together.
LIMIT = "Server-Limit"
# In a response: the instance is about to end.
LEAVING = "Server-Leaving"
# In an answer to a health check: how much longer the instance is cold.
COLD_MS = "Cold-Ms"
RETRY_AFTER = "Retry-After"

# Nodes set these on each request to an instance and drop the values that the caller sent.
SET_BY_NODES = frozenset(
    name.lower() for name in (REQUEST_ID, DEADLINE_MS, CALLER_SERVICE, EXPECTED_INSTANCE)
)


def as_latin1(headers: Mapping[str, str], without: Iterable[str] = ()) -> CIMultiDict[str]:
    """Returns headers as Latin-1 text, in which each character is one byte on the wire.

    Args:
      headers: Headers as decoded by aiohttp, from UTF-8 with surrogate escapes.
      without: Names to leave out, in lower case.
    """
    return CIMultiDict(
        (_bytes_as_latin1(name), _bytes_as_latin1(value))
        for name, value in headers.items()
        if name.lower() not in without
    )


def _bytes_as_latin1(text: str) -> str:
    if text.isascii():
        return text
    return text.encode("utf-8", "surrogateescape").decode("latin-1")
