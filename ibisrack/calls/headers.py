"""Headers that carry the context of a call between caller, nodes and upstream."""

import re
import uuid
from collections.abc import Mapping

import attrs

from ibisrack.decimals import parse_decimal
from ibisrack.errors import RequestError

CALL_ID = "Ibis-Call-Id"
DEADLINE_MS = "Ibis-Deadline-Ms"
DEPTH = "Ibis-Depth"
HOP = "Ibis-Hop"
KEY_PERIOD = "Ibis-Key-Period"
LOAD = "Ibis-Load"
OUTCOME = "Ibis-Outcome"
RANK = "Ibis-Rank"
REASON = "Ibis-Reason"
RETRY_RIGHT = "Ibis-Retry-Right"  # "held" if a layer above the receiver keeps it, otherwise "yes".
REVISION = "Ibis-Revision"
SERVED_BY = "Ibis-Served-By"
IDEMPOTENCY_KEY = "Idempotency-Key"

MAX_DEPTH = 16
MAX_DEADLINE_MS = 3_600_000

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that each hop sets or handles itself.
NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Host",
        "Expect",
    )
)

_CALL_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")


@attrs.frozen
class CallContext:
    """Call context from the headers of a request.

    Attributes:
      call_id: Identifier of the call, the same on all its hops.
      deadline_ms: Time left in milliseconds, None when the caller set no deadline.
      depth: Number of services above this call in the chain of calls.
      retry_right: Whether this layer holds the right to retry a call that may have run.
      forwarded: Whether another node forwarded the call to this node's upstream.
      rank: Rank chosen by the node that forwarded the call.
      idempotency_key: The caller's key, empty when there is none.
      key_period: Period of the list of instances that determines the home of the key, or empty.
    """

    call_id: str
    deadline_ms: int | None = None
    depth: int = 0
    retry_right: bool = True
    forwarded: bool = False
    rank: str = ""
    idempotency_key: str = ""
    key_period: str = ""


def _parse_number(headers: Mapping[str, str], name: str, limit: int) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    value = parse_decimal(text, limit)
    if value is None:
        raise RequestError(f"{name} must be a whole number up to {limit}")
    return value


def read_context(headers: Mapping[str, str]) -> CallContext:
    """Returns the call context of a request; a call without an id gets a new one.

    Raises:
      RequestError: A header is malformed.
    """
    call_id = headers.get(CALL_ID) or uuid.uuid4().hex
    if not _CALL_ID_PATTERN.match(call_id):
        raise RequestError(
            f"{CALL_ID} must be 1 to 64 letters, digits, dots, underscores or dashes"
        )
    return CallContext(
        call_id=call_id,
        deadline_ms=_parse_number(headers, DEADLINE_MS, MAX_DEADLINE_MS),
        depth=_parse_number(headers, DEPTH, MAX_DEPTH) or 0,
        retry_right=headers.get(RETRY_RIGHT, "yes") != "held",
        forwarded=headers.get(HOP) == "1",
        rank=headers.get(RANK, ""),
        idempotency_key=headers.get(IDEMPOTENCY_KEY, ""),
        key_period=headers.get(KEY_PERIOD, ""),
    )
