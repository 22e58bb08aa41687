"""HTTP client of the platform's configuration service, which publishes named values.

``GET /v1/config/NAME?after_revision=R&wait_s=S`` returns status 200 with the value and its
revision in ``X-Revision``, or 304 if the revision is still R after S seconds.  HEAD returns the
same without the value.
"""

import msgspec
from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout

from ibisrack.decimals import parse_decimal
from ibisrack.errors import PlatformError, PlatformTimeoutError
from ibisrack.platform.messages import HostList, ListedHost, PlatformValue
from ibisrack.rules.ruleset import MAX_CONTENT_BYTES
from ibisrack.settings.node import PlatformSettings

# Names of the values that nodes read.
RULES_NAME = "rules"
HOSTS_NAME = "hosts"
MAX_REVISION = 2**63 - 1  # Nodes send revisions in 64 bits.
MAX_GENERATION = 2**53 - 1  # Nodes send generations in 64 bits; larger ones are not exact in JSON.


async def watch(
    session: ClientSession,
    settings: PlatformSettings,
    name: str,
    after_revision: int,
    watch_s: float,
) -> PlatformValue | None:
    """Waits for a value whose revision differs from the known one.

    Args:
      session: HTTP client session.
      settings: Address and timeout of the service.
      name: Name of the value.
      after_revision: The known revision, 0 for none.
      watch_s: Maximum time in seconds that the service holds the request.

    Returns:
      The value, or None if the revision did not change.

    Raises:
      PlatformTimeoutError: The service did not respond in time.
      PlatformError: The request failed or the response is invalid.
    """
    return await _request(session, settings, "GET", name, after_revision, watch_s)


async def watch_revision(
    session: ClientSession,
    settings: PlatformSettings,
    name: str,
    after_revision: int,
    watch_s: float,
) -> int | None:
    """Like ``watch``, but returns only the revision and does not transfer the value."""
    value = await _request(session, settings, "HEAD", name, after_revision, watch_s)
    return value.revision if value else None


async def _request(
    session: ClientSession,
    settings: PlatformSettings,
    method: str,
    name: str,
    after_revision: int,
    watch_s: float,
) -> PlatformValue | None:
    url = f"{settings.base_url}/v1/config/{name}"
    params = {"after_revision": str(after_revision), "wait_s": f"{watch_s:.3f}"}
    timeout = ClientTimeout(total=watch_s + settings.timeout_s)
    try:
        async with session.request(method, url, params=params, timeout=timeout) as response:
            if response.status == 304:
                return None
            if response.status != 200:
                raise PlatformError(f"{name}: status {response.status}")
            content = await _read_content(response, name)
            return PlatformValue(
                name, parse_revision(response.headers.get("X-Revision", "")), content
            )
    except TimeoutError as error:
        raise PlatformTimeoutError(f"{name}: no answer within {timeout.total:.1f} s") from error
    except (ClientError, OSError) as error:
        raise PlatformError(f"{name}: {type(error).__name__} {error}") from error


async def _read_content(response: ClientResponse, name: str) -> bytes:
    content = await response.content.read(MAX_CONTENT_BYTES + 1)
    while not response.content.at_eof() and len(content) <= MAX_CONTENT_BYTES:
        content += await response.content.read(MAX_CONTENT_BYTES + 1 - len(content))
    if len(content) > MAX_CONTENT_BYTES:
        raise PlatformError(f"{name}: the value is larger than {MAX_CONTENT_BYTES} bytes")
    return content


def parse_revision(text: str) -> int:
    """Returns the revision that an answer states.

    Raises:
      PlatformError: The text is no number, or a number above MAX_REVISION.
    """
    revision = parse_decimal(text, MAX_REVISION)
    if revision is None:
        raise PlatformError(f"X-Revision is not a revision: '{text[:40]}'")
    return revision


def parse_hosts(content: bytes, revision: int) -> HostList:
    """Decodes the platform's list of hosts.

    Raises:
      PlatformError: The content is not a valid list of hosts.
    """
    try:
        hosts = msgspec.json.decode(content, type=tuple[ListedHost, ...])
    except Exception as error:  # No list of exceptions covers all bytes, such as deep nesting.
        raise PlatformError(f"hosts: {type(error).__name__} {error}") from error
    if not all(0 <= host.generation <= MAX_GENERATION for host in hosts):
        raise PlatformError("hosts: a generation is out of range")
    return HostList(hosts, revision)
