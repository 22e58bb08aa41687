"""Reads and watches values of the platform's configuration service over HTTP.

``GET /v1/config/NAME?after_revision=R&wait_s=S`` answers 200 with the value and its revision in
``X-Revision``, or 304 when nothing above R appeared within S seconds.  HEAD answers the same
without the value.
"""

import msgspec
from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout

from ibisrack.errors import PlatformError, PlatformTimeoutError
from ibisrack.platform.messages import HostList, ListedHost, PlatformValue
from ibisrack.rules.ruleset import MAX_CONTENT_BYTES
from ibisrack.settings.node import PlatformSettings

RULES = "rules"
HOSTS = "hosts"


async def watch(
    session: ClientSession,
    settings: PlatformSettings,
    name: str,
    after_revision: int,
    watch_s: float,
) -> PlatformValue | None:
    """Waits for a value with another revision than the one known.

    Args:
      session: HTTP client session.
      settings: Where the platform is.
      name: Name of the value.
      after_revision: Revision that is known already, 0 for none.
      watch_s: Longest time that the watch waits at the service.

    Returns:
      The value, or None when the watch ended without news.

    Raises:
      PlatformTimeoutError: The service did not answer in time.
      PlatformError: The service did not give a usable answer.
    """
    return await _ask(session, settings, "GET", name, after_revision, watch_s)


async def watch_revision(
    session: ClientSession,
    settings: PlatformSettings,
    name: str,
    after_revision: int,
    watch_s: float,
) -> int | None:
    """Waits like ``watch``, but for the revision alone; the value is not transferred."""
    notice = await _ask(session, settings, "HEAD", name, after_revision, watch_s)
    return notice.revision if notice else None


async def _ask(
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
        async with session.request(method, url, params=params, timeout=timeout) as answer:
            if answer.status == 304:
                return None
            if answer.status != 200:
                raise PlatformError(f"{name}: status {answer.status}")
            content = await _content(answer, name)
            return PlatformValue(name, _revision(answer.headers.get("X-Revision", "")), content)
    except TimeoutError as error:
        raise PlatformTimeoutError(f"{name}: no answer within {timeout.total:.1f} s") from error
    except (ClientError, OSError) as error:
        raise PlatformError(f"{name}: {type(error).__name__} {error}") from error


async def _content(answer: ClientResponse, name: str) -> bytes:
    content = await answer.content.read(MAX_CONTENT_BYTES + 1)
    while not answer.content.at_eof() and len(content) <= MAX_CONTENT_BYTES:
        content += await answer.content.read(MAX_CONTENT_BYTES + 1 - len(content))
    if len(content) > MAX_CONTENT_BYTES:
        raise PlatformError(f"{name}: the value is larger than {MAX_CONTENT_BYTES} bytes")
    return content


def _revision(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise PlatformError(f"X-Revision is not a revision: '{text[:40]}'")
    return int(text)


def parse_hosts(content: bytes, revision: int) -> HostList:
    """Decodes the list of hosts.

    Raises:
      PlatformError: The content is not a list of hosts.
    """
    try:
        return HostList(msgspec.json.decode(content, type=tuple[ListedHost, ...]), revision)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformError(f"hosts: {error}") from error
