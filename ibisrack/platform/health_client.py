"""Asks the instance beside a node how much longer it is cold."""

import re
from collections.abc import Mapping

import attrs
from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from ibisrack.decimals import MAX_NUMBER_CHARS
from ibisrack.hosting.coldness import HealthAnswer
from ibisrack.platform.headers import COLD_MS
from ibisrack.settings.sidecar import Address

HEALTH_TIMEOUT_S = 1.0

_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?")


@attrs.define(eq=False)
class HealthClient:
    """Sends health checks to the instance on the same host as the node.

    Attributes:
      session: HTTP client session.
      address: Address of the instance.
    """

    session: ClientSession
    address: Address

    async def check(self, path: str) -> HealthAnswer:
        """Sends one health check and returns its result; does not raise errors of the instance."""
        if not path.startswith("/"):  # The operator's text could name another host.
            return HealthAnswer(True)
        host = f"[{self.address.host}]" if ":" in self.address.host else self.address.host
        try:
            async with self.session.get(
                f"http://{host}:{self.address.port}{path}",
                # An idle connection would hide the end of the process from the next check.
                headers={"Connection": "close"},
                timeout=ClientTimeout(total=HEALTH_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                is_healthy = 200 <= response.status < 300
                return HealthAnswer(True, parse_cold_s(response.headers) if is_healthy else None)
        except ClientConnectorError:
            return HealthAnswer(False)
        except (ClientError, OSError, ValueError):  # Includes TimeoutError.
            return HealthAnswer(True)


def parse_cold_s(headers: Mapping[str, str]) -> float | None:
    """Returns how much longer an instance is cold, None if it states no valid time.

    An instance that answers without the header states that it is not cold.
    """
    text = headers.get(COLD_MS, "0")
    if len(text) > MAX_NUMBER_CHARS or not _NUMBER.fullmatch(text):
        return None
    return float(text) / 1000
