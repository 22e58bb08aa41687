"""Headers that a node forwards between caller and upstream, in both directions."""

from collections.abc import Mapping

from multidict import CIMultiDict

from ibisrack.calls.headers import CALL_ID, DEADLINE_MS, DEPTH, NOT_FORWARDED, RANK
from ibisrack.calls.messages import Call
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import NotRunError

# Only nodes set headers with this prefix.  If they were forwarded, a caller could change the
# deadline and an upstream could forge an outcome.
RESERVED_PREFIX = "ibis-"


def forwardable_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the headers to forward, repeated ones included.

    Hop-by-hop headers, headers that the Connection header names and reserved headers are left out.
    """
    kept: CIMultiDict[str] = CIMultiDict()
    named = _named_by_connection(headers)
    for name, value in headers.items():
        lower = name.lower()
        if lower not in NOT_FORWARDED and lower not in named:
            if not lower.startswith(RESERVED_PREFIX):
                kept.add(name, value)
    return kept


def remaining_s(call: Call, now_s: float) -> float:
    """Returns the time left for a call, in seconds.

    Raises:
      NotRunError: The deadline has passed, so the call is not sent.
    """
    budget_s = call.deadline_at_s - now_s
    if budget_s <= 0:
        raise NotRunError(Reason.DEADLINE)
    return budget_s


def context_headers(call: Call, budget_s: float, depth: int) -> dict[str, str]:
    """Returns the context headers that are sent to upstreams and nodes alike.

    Args:
      call: The call.
      budget_s: Time left for the call.
      depth: Number of services above the receiver's call.
    """
    return {
        "Host": call.route.host,
        CALL_ID: call.call_id,
        DEADLINE_MS: str(max(1, int(budget_s * 1000))),
        DEPTH: str(depth),
        RANK: call.route.rank,
    }


def _named_by_connection(headers: Mapping[str, str]) -> frozenset[str]:
    value = headers.get("Connection")
    if value is None:
        return frozenset()
    return frozenset(part.strip().lower() for part in value.split(","))
