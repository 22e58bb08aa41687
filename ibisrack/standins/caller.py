"""Stand-in for callers: an open-loop load of several kinds of work with a report for each."""

import asyncio
import itertools
import time
import uuid
from pathlib import Path
from random import Random

import attrs
import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from hdrh.histogram import HdrHistogram

from ibisrack.settings.standins import CallerSettings, TrafficSettings

MAX_LATENCY_US = 120_000_000
CALL_TIMEOUT_S = 60.0
RETRY_PAUSE_S = 0.05


@attrs.frozen
class ToldOutcome:
    """What a caller was told of one call, in the last of its attempts.

    Attributes:
      outcome: done, not-run or unknown as the node said; unknown when the connection broke;
        not-sent when none could be opened; wrong for the answer of another call; truncated for an
        answer that came as whole and is not.
      ended_wall_s: Time of the answer since the epoch.
    """

    call_id: str
    rank: str
    status: int
    outcome: str
    reason: str
    served_by: str
    latency_ms: float
    ended_wall_s: float = 0.0


@attrs.define
class RankReport:
    """Counts and latencies of one kind of work."""

    offered: int = 0
    done: int = 0
    not_run: int = 0
    not_sent: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    truncated: int = 0
    histogram: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the latencies of calls that were done."""
        return self.histogram.get_value_at_percentile(percent) / 1000


@attrs.define
class Caller:
    """Sends calls and keeps what was told."""

    settings: CallerSettings
    session: ClientSession
    reports: dict[str, RankReport] = attrs.field(factory=dict)
    finished: list[ToldOutcome] = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    async def run(self) -> None:
        """Sends all traffic and waits for the last answer."""
        async with asyncio.TaskGroup() as group:
            for index, traffic in enumerate(self.settings.traffic):
                self.reports[traffic.rank] = RankReport()
                group.create_task(self._send_all(traffic, Random(self.settings.seed + index)))

    async def _send_all(self, traffic: TrafficSettings, rng: Random) -> None:
        start_s = time.monotonic()
        due_s = start_s
        async with asyncio.TaskGroup() as group:
            while True:
                due_s += rng.expovariate(traffic.calls_per_s)
                if due_s - start_s > self.settings.duration_s:
                    break
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                group.create_task(self.call(traffic))

    async def call(self, traffic: TrafficSettings) -> ToldOutcome:
        """Sends one call and notes what was told."""
        number = next(self._numbers)
        call_id = f"{self.settings.name}-{traffic.rank}-{self.settings.seed}-{number}"
        headers = _headers(traffic, call_id)
        start_s = time.monotonic()
        for attempt in range(traffic.tries):
            target = self.settings.targets[(number + attempt) % len(self.settings.targets)]
            url = f"http://{target}{traffic.path}"
            finished = await self._exchange(traffic, url, headers, start_s)
            if finished.outcome not in ("not-run", "not-sent"):
                break
            if attempt + 1 < traffic.tries:
                await asyncio.sleep(RETRY_PAUSE_S)
        self._note(traffic, finished)
        return finished

    async def _exchange(
        self, traffic: TrafficSettings, url: str, headers: dict[str, str], start_s: float
    ) -> ToldOutcome:
        call_id = headers["Ibis-Call-Id"]
        status, outcome, reason, served_by = 0, "unknown", "connection-lost", ""
        try:
            async with self.session.request(traffic.method, url, headers=headers) as answer:
                body = await answer.read()
                status = answer.status
                outcome = answer.headers.get("Ibis-Outcome", "unknown")
                reason = answer.headers.get("Ibis-Reason", "")
                served_by = answer.headers.get("Ibis-Served-By", "")
                if status == 200:
                    outcome = _verdict(outcome, call_id, traffic, body)
        except ClientConnectorError:
            outcome, reason = "not-sent", "no-connection"
        except (ClientError, OSError, TimeoutError):
            outcome, reason = "unknown", "connection-lost"
        latency_ms = (time.monotonic() - start_s) * 1000
        return ToldOutcome(
            call_id, traffic.rank, status, outcome, reason, served_by, latency_ms, time.time()
        )

    def _note(self, traffic: TrafficSettings, finished: ToldOutcome) -> None:
        self.finished.append(finished)
        report = self.reports.setdefault(traffic.rank, RankReport())
        report.offered += 1
        if finished.outcome == "done":
            report.done += 1
            report.histogram.record_value(max(1, int(finished.latency_ms * 1000)))
        elif finished.outcome == "not-run":
            report.not_run += 1
        elif finished.outcome == "not-sent":
            report.not_sent += 1
        elif finished.outcome == "wrong":
            report.wrong_answers += 1
        elif finished.outcome == "truncated":
            report.truncated += 1
        else:
            report.unknown += 1


def _headers(traffic: TrafficSettings, call_id: str) -> dict[str, str]:
    headers = {
        "Host": traffic.host,
        "Ibis-Call-Id": call_id,
        "X-Work-Ms": str(traffic.work_ms),
        "X-Answer-Bytes": str(traffic.answer_bytes),
    }
    if traffic.deadline_ms:
        headers["Ibis-Deadline-Ms"] = str(traffic.deadline_ms)
    if traffic.keyed:
        headers["Idempotency-Key"] = str(_uuid7())
    return headers


def _uuid7() -> uuid.UUID:
    """Returns a UUIDv7 (RFC 9562): 48 bits of milliseconds since the epoch, then random bits."""
    random_bits = uuid.uuid4().int & ((1 << 80) - 1)
    value = int(time.time() * 1000) << 80 | random_bits
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0b11 << 62) | 0b10 << 62
    return uuid.UUID(int=value)


def _verdict(outcome: str, call_id: str, traffic: TrafficSettings, body: bytes) -> str:
    """Checks a whole answer of a stand-in: JSON that names the call, padded with blanks."""
    if b"}" not in body or len(body) < traffic.answer_bytes:
        return "truncated"
    return outcome if f'"{call_id}"'.encode() in body else "wrong"


async def run_caller(settings: CallerSettings) -> Caller:
    """Sends the traffic of the settings and returns the caller with its reports."""
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    async with ClientSession(connector=TCPConnector(limit=0), timeout=timeout) as session:
        # The session would send a GET again when its connection breaks, and report only the second
        # attempt: a call that did run could look as if it had never been sent.
        session._retry_connection = False
        caller = Caller(settings, session)
        await caller.run()
    if settings.told_file:
        Path(settings.told_file).write_bytes(msgspec.json.encode(caller.finished))
    return caller


def summary(caller: Caller) -> dict[str, dict[str, float]]:
    """Returns the report of each kind of work as plain values."""
    return {
        rank: {
            "offered": report.offered,
            "done": report.done,
            "not_run": report.not_run,
            "not_sent": report.not_sent,
            "unknown": report.unknown,
            "wrong_answers": report.wrong_answers,
            "truncated": report.truncated,
            "p50_ms": report.percentile_ms(50),
            "p99_ms": report.percentile_ms(99),
        }
        for rank, report in caller.reports.items()
    }
