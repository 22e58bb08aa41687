"""Callers of a soak: one task each, beside one sidecar, whatever state that sidecar is in.

A caller that keeps its connection uses it until the process closes it or is gone.
"""

import asyncio
import itertools
import time
from random import Random

import attrs
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientSession,
    TCPConnector,
)

from bench.soak.fleet import ROUTE_TIMEOUT_S, Member, SoakFleet, version_prefix
from bench.soak.history import Failure, Outcome, Recovery, Request, VersionProbe
from bench.soak.instances import BREAK_OFF, Work
from ibisrack.platform.headers import DEADLINE_MS, REQUEST_ID, SIGNATURE
from ibisrack.standins.instance import digest

HOST = "desk.example"
MEAN_PAUSE_S = 0.08  # Between the requests of a caller.
RECONNECT_PAUSE_S = 0.05
DEADLINES_S = (0.5, 1.5, 3.0, 3.0, 3.0)
EXTRA_WAIT_S = 0.5  # A caller gives up this long after its deadline.
LEAVE_PERCENT = 2  # Requests whose caller leaves early.
# Statuses of the instance's answers with their weights.
STATUS_WEIGHTS = {200: 97, 500: 1, BREAK_OFF: 2}
KEPT_PER_SIDECAR = 2  # Callers that keep their connection; one more opens a new one each time.
PROBE_INTERVAL_S = 0.25
RECOVERY_POLL_S = 0.1
PROBED_VERSIONS = 2  # The latest versions that each round of probes asks for.


@attrs.frozen
class Traffic:
    """A kind of request.

    Attributes:
      method: HTTP method.
      prefix: Path prefix.
      idempotent: Whether it may run more than once.
      weight: Share of the requests.
      work_ms: Shortest and longest duration at the instance.
      answer_bytes: Largest size of an answer.
    """

    method: str
    prefix: str
    idempotent: bool
    weight: int
    work_ms: tuple[int, int]
    answer_bytes: int


TRAFFIC = (
    Traffic("GET", "/notices/", True, 30, (2, 40), 200),
    Traffic("POST", "/lodge/", False, 25, (5, 80), 200),
    Traffic("POST", "/lodge/", False, 10, (300, 2000), 200),
    Traffic("GET", "/docs/", True, 25, (2, 60), 3000),
    Traffic("GET", "/docs/", True, 6, (300, 2000), 3000),
    Traffic("GET", "/scans/", True, 7, (20, 150), 300_000),
)
LONG_REQUESTS = (
    Traffic("GET", "/notices/", True, 1, (1500, 1500), 100),
    Traffic("GET", "/docs/", True, 1, (1500, 1500), 100),
)
DEADLY_REPEATABLE = Traffic("GET", "/notices/", True, 1, (5, 5), 100)
DEADLY_NOT_REPEATABLE = Traffic("POST", "/lodge/", False, 1, (5, 5), 100)


@attrs.define(eq=False)
class Caller:
    """A caller beside a sidecar.

    Attributes:
      fleet: The fleet.
      member: Host of the sidecar.
      name: Unique name, part of the request ids.
      rng: Chooses the requests and their times.
      session: HTTP session with at most one connection.
    """

    fleet: SoakFleet
    member: Member
    name: str
    rng: Random
    session: ClientSession
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    async def run(self) -> None:
        """Sends requests one after another until the fleet is ending."""
        while not self.fleet.ending:
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
            outcome = await self.send(self.rng.choices(TRAFFIC, [t.weight for t in TRAFFIC])[0])
            if outcome.failure is Failure.NOT_CONNECTED:
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def send(self, traffic: Traffic) -> Outcome:
        """Sends a request of a kind and records it with its outcome."""
        rng = self.rng
        work = Work(
            rng.randint(*traffic.work_ms),
            rng.randint(0, traffic.answer_bytes),
            rng.choices(tuple(STATUS_WEIGHTS), tuple(STATUS_WEIGHTS.values()))[0],
        )
        body = rng.randbytes(rng.randint(1, 2000)) if traffic.method == "POST" else b""
        return await self.send_content(traffic, traffic.prefix + work.encode(), body)

    async def send_content(self, traffic: Traffic, path: str, body: bytes) -> Outcome:
        """Sends a request with this path and body and records it with its outcome."""
        rng, history = self.rng, self.fleet.history
        deadline_s = rng.choice(DEADLINES_S)
        request = Request(
            request_id=f"s{self.fleet.seed}-{self.name}-{next(self._numbers)}",
            node=self.member.number,
            path=path,
            idempotent=traffic.idempotent,
            body_digest=digest(body),
            sent_at_s=time.monotonic(),
            limit_s=min(deadline_s, ROUTE_TIMEOUT_S),
            method=traffic.method,
            caller=self.member.sidecar.placement.service,
        )
        history.requests[request.request_id] = request
        leaves = rng.randrange(100) < LEAVE_PERCENT
        patience_s = rng.uniform(0.005, 0.2) if leaves else deadline_s + EXTRA_WAIT_S
        outcome = await self._exchange(request, body, deadline_s, patience_s)
        history.outcomes.append(outcome)
        return outcome

    async def _exchange(
        self, request: Request, body: bytes, deadline_s: float, patience_s: float
    ) -> Outcome:
        headers = {
            "Host": HOST,
            REQUEST_ID: request.request_id,
            DEADLINE_MS: str(int(deadline_s * 1000)),
        }
        failure = None
        try:
            async with (
                asyncio.timeout(patience_s),
                self.session.request(
                    request.method,
                    _url(self.member, request.path),
                    headers=headers,
                    data=body or None,
                ) as response,
            ):
                return await _read_answer(request, response)
        except TimeoutError:
            failure = Failure.TIMED_OUT
        except ClientConnectorError:
            failure = Failure.NOT_CONNECTED
        except ClientPayloadError:
            failure = Failure.CUT
        except (ClientError, OSError):
            failure = Failure.CLOSED
        return Outcome(request.request_id, time.monotonic(), failure)


async def _read_answer(request: Request, response: ClientResponse) -> Outcome:
    content = await response.read()
    return Outcome(
        request_id=request.request_id,
        at_s=time.monotonic(),
        status=response.status,
        echoed_id=response.headers.get(REQUEST_ID, ""),
        signature=response.headers.get(SIGNATURE, ""),
        body_digest=digest(content),
    )


def _url(member: Member, path: str) -> str:
    return f"http://{member.sidecar.host}:{member.sidecar.placement.ports.calls}{path}"


def open_session(keeps_connection: bool) -> ClientSession:
    """Returns a session with at most one connection, which sends each request once."""
    connector = TCPConnector(limit=1, force_close=not keeps_connection)
    session = ClientSession(connector=connector)
    # By default the session sends a GET again when its connection breaks.
    session._retry_connection = False
    return session


async def run_callers(fleet: SoakFleet, member: Member) -> None:
    """Runs the callers and the version probes beside one sidecar until the fleet is ending."""
    async with asyncio.TaskGroup() as group:
        for number in range(KEPT_PER_SIDECAR + 1):
            group.create_task(_run_caller(fleet, member, number))
        group.create_task(_probe_versions(fleet, member))


async def _run_caller(fleet: SoakFleet, member: Member, number: int) -> None:
    name = f"{member.number}.{number}"
    async with open_session(keeps_connection=number < KEPT_PER_SIDECAR) as session:
        await Caller(fleet, member, name, Random(f"{fleet.seed} {name}"), session).run()


async def send_once(
    fleet: SoakFleet, member: Member, traffic: Traffic, path: str, body: bytes
) -> None:
    """Sends one request on a new connection beside a sidecar."""
    name = f"{member.number}.d{len(fleet.history.requests)}"
    async with open_session(keeps_connection=False) as session:
        await Caller(fleet, member, name, Random(name), session).send_content(traffic, path, body)


async def _probe_versions(fleet: SoakFleet, member: Member) -> None:
    """Asks a sidecar in turn for the routes that the latest versions have added."""
    async with open_session(keeps_connection=True) as session:
        prober = Caller(fleet, member, f"{member.number}.p", Random(0), session)
        while not fleet.ending:
            oldest = max(1, fleet.version - PROBED_VERSIONS + 1)
            for version in range(oldest, fleet.version + 1):
                await _probe(prober, version)
            await asyncio.sleep(PROBE_INTERVAL_S)


async def _probe(prober: Caller, version: int) -> None:
    member = prober.member
    incarnation, sent_at_s = member.incarnation, time.monotonic()
    outcome = await prober.send(Traffic("GET", version_prefix(version), True, 1, (1, 5), 100))
    if outcome.failure is None and member.incarnation == incarnation:
        member.responded = True
        prober.fleet.history.probes.append(
            VersionProbe(
                member.number, incarnation, version, sent_at_s, outcome.at_s, outcome.status
            )
        )


async def record_recovery(fleet: SoakFleet, member: Member, bound_s: float) -> None:
    """Waits until a sidecar is ready and serves each kind of request, at most for the bound."""
    start_s, served, serves_after_s = time.monotonic(), set(), None
    async with open_session(keeps_connection=False) as session:
        caller = Caller(fleet, member, f"{member.number}.r", Random(0), session)
        while time.monotonic() - start_s < bound_s:
            if await member.sidecar.is_ready(fleet.session):
                for traffic in set(TRAFFIC) - served:
                    if (await caller.send(traffic)).status == 200:
                        served.add(traffic)
                if len(served) == len(TRAFFIC):
                    serves_after_s = time.monotonic() - start_s
                    break
            await asyncio.sleep(RECOVERY_POLL_S)
    fleet.history.recoveries.append(Recovery(member.number, serves_after_s))
