"""Sends calls to the local upstream and reads its health and load endpoints."""

import asyncio
from collections.abc import Mapping
from urllib.parse import urlsplit

import attrs
import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from ibisrack.calls.headers import OUTCOME
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.transport import send
from ibisrack.clocks import read_monotonic_s
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.rules.model import ServiceRule
from ibisrack.settings.node import UpstreamSettings
from ibisrack.upstreams.connections import ConnectionPool
from ibisrack.upstreams.messages import Answered, Broken, HealthRead, LoadRead, Shed, Unreachable
from ibisrack.upstreams.sizing import PoolSizing
from ibisrack.upstreams.state import UpstreamState

ENDPOINT_TIMEOUT_S = 1.0
MAX_LOAD_BODY_BYTES = 4096


class _LoadBody(msgspec.Struct):
    """Body of an answer from the load endpoint."""

    busy: int
    slots: int


def create_pool(base_url: str) -> ConnectionPool:
    """Returns the pool for an upstream; ``LocalUpstream.configure`` sets its size."""
    parts = urlsplit(base_url)
    return ConnectionPool(parts.hostname, parts.port, PoolSizing(limit=1))


@attrs.define
class LocalUpstream:
    """Client of the local upstream.

    Attributes:
      settings: Address of the upstream and interval between endpoint reads.
      pool: Connections to the upstream.
      state: Observed state of the upstream.
    """

    settings: UpstreamSettings
    pool: ConnectionPool
    state: UpstreamState = attrs.field(factory=UpstreamState)

    def configure(self, rule: ServiceRule) -> None:
        """Applies the sizes of the version in force; keeps one warm connection for each slot."""
        self.state.configure(rule.slots)
        self.pool.resize(limit=rule.connections, warm=rule.slots)

    async def run(self, call: Call, hop_headers: Mapping[str, str], budget_s: float) -> Answer:
        """Sends a call and returns its answer.

        Args:
          call: The call; it must hold a slot.
          hop_headers: Headers of this hop, added to those of the call.
          budget_s: Time left for the call.

        Raises:
          NotRunError: The upstream was not reached, or it shed the call.
          UnknownOutcomeError: The call may have run.
        """
        if not self.state.may_call(read_monotonic_s()):
            raise NotRunError(Reason.UPSTREAM_UNREACHABLE)
        try:
            answer = await send(self.pool, call, hop_headers, budget_s)
        except NotRunError as error:
            if error.reason == Reason.UPSTREAM_UNREACHABLE:
                self._observe(Unreachable())
            raise
        except UnknownOutcomeError as error:
            # A late answer doesn't indicate a broken upstream: the deadline may have been short.
            if error.reason != Reason.DEADLINE:
                self._observe(Broken())
            raise
        if is_shed(answer):
            self._observe(Shed())
            raise NotRunError(Reason.SHED)
        self._observe(Answered())
        return answer

    async def watch(self, session: ClientSession) -> None:
        """Keeps connections warm and reads the endpoints until cancelled."""
        while True:
            self.pool.keep_warm()
            healthy = await self._read_health(session)
            if healthy is not None:
                self._observe(HealthRead(healthy))
            load = await self._read_load(session)
            if load is not None:
                self._observe(load)
            await asyncio.sleep(self.settings.health_interval_s)

    def _observe(self, observation) -> None:
        self.state.observe(observation, read_monotonic_s())

    async def _read_health(self, session: ClientSession) -> bool | None:
        """Returns the report of the health endpoint, None if there is no such endpoint."""
        timeout = ClientTimeout(total=ENDPOINT_TIMEOUT_S)
        try:
            url = self.settings.base_url.rstrip("/") + "/health"
            async with session.get(url, timeout=timeout) as answer:
                return None if answer.status == 404 else answer.status < 400
        except (ClientError, OSError):
            return False

    async def _read_load(self, session: ClientSession) -> LoadRead | None:
        timeout = ClientTimeout(total=ENDPOINT_TIMEOUT_S)
        try:
            url = self.settings.base_url.rstrip("/") + "/load"
            async with session.get(url, timeout=timeout) as answer:
                content = await answer.content.read(MAX_LOAD_BODY_BYTES)
                body = msgspec.json.decode(content, type=_LoadBody)
        except (ClientError, OSError, msgspec.MsgspecError):
            return None
        return LoadRead(body.busy, body.slots)


def is_shed(answer: Answer) -> bool:
    """Returns whether an answer means that the upstream did not run the call.

    The platform's upstreams shed with 503 and Retry-After before they start work.  An upstream that
    ran the call may also send a 503: without Retry-After, or with an outcome header if it copies
    the refusal of a call that it made itself.  Such an answer is passed on to the caller.
    """
    if answer.status != 503 or answer.rest is not None:
        return False
    return "Retry-After" in answer.headers and OUTCOME not in answer.headers
