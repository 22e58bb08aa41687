"""Names of the headers that callers, nodes and instances of the platform use."""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"
CALLER_SERVICE = "Caller-Service"
EXPECTED_INSTANCE = "Expected-Instance"
INSTANCE_ID = "Instance-Id"
# On an answer: the instance did not run the request.
NOT_EXECUTED = "Not-Executed"
# On an answer: proof that the instance gave it.
SIGNATURE = "Response-Signature"
RETRY_AFTER = "Retry-After"

# The nodes set these on a request to an instance, whatever the caller sent.
SET_BY_NODES = frozenset(
    name.lower() for name in (REQUEST_ID, DEADLINE_MS, CALLER_SERVICE, EXPECTED_INSTANCE)
)


def plain(headers: Mapping[str, str], without: Iterable[str] = ()) -> CIMultiDict[str]:
    """Returns headers as plain texts whose characters stand for the bytes on the wire.

    Args:
      headers: Headers as the HTTP library decoded them.
      without: Names, in lower case, to leave out.
    """
    return CIMultiDict(
        (_bytes_as_text(name), _bytes_as_text(value))
        for name, value in headers.items()
        if name.lower() not in without
    )


def _bytes_as_text(text: str) -> str:
    if text.isascii():
        return text
    return text.encode("utf-8", "surrogateescape").decode("latin-1")
