"""Stand-in for callers: an open-loop load generator with a report for each kind of call."""

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

MAX_LATENCY_US = 120_000_000  # Upper bound of the latency histograms.
CALL_TIMEOUT_S = 60.0
RETRY_DELAY_S = 0.05  # Between attempts of a call.


@attrs.frozen
class CallResult:
    """Result of a call as the caller observed it in the last attempt.

    Attributes:
      call_id: Identity of the call.
      rank: Kind of call, as named in the settings.
      status: HTTP status, 0 without a response.
      outcome: done, not-run or unknown as reported by the node; unknown if the connection broke;
        not-sent if no connection could be opened; wrong if the body belongs to another call;
        truncated if the body is incomplete though the response ended normally.
      reason: Reason code, from the node or from the caller itself.
      served_by: Node that served the call, as reported in the response, or empty.
      latency_ms: Time from the first attempt to the end of the last, in milliseconds.
      ended_wall_s: End of the last attempt, in seconds since the epoch.
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
    """Number of calls by outcome, and latencies of done calls, for one kind of call."""

    offered: int = 0
    done: int = 0
    not_run: int = 0
    not_sent: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    truncated: int = 0
    histogram: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the latencies of done calls, in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000


@attrs.define
class Caller:
    """Sends calls and collects their results.

    Attributes:
      settings: Targets, traffic, duration and seed.
      session: HTTP client session.
      reports: Report for each kind of call, by rank.
      results: Result of each call.
    """

    settings: CallerSettings
    session: ClientSession
    reports: dict[str, RankReport] = attrs.field(factory=dict)
    results: list[CallResult] = attrs.field(factory=list)
    _call_numbers: itertools.count = attrs.field(factory=itertools.count)

    async def run(self) -> None:
        """Sends all traffic and waits until every call has ended."""
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

    async def call(self, traffic: TrafficSettings) -> CallResult:
        """Sends one call, with retries if it did not run, and records the result."""
        number = next(self._call_numbers)
        call_id = f"{self.settings.name}-{traffic.rank}-{self.settings.seed}-{number}"
        headers = _request_headers(traffic, call_id)
        start_s = time.monotonic()
        for attempt in range(traffic.tries):
            target = self.settings.targets[(number + attempt) % len(self.settings.targets)]
            url = f"http://{target}{traffic.path}"
            result = await self._send_attempt(traffic, url, headers, start_s)
            if result.outcome not in ("not-run", "not-sent"):
                break
            if attempt + 1 < traffic.tries:
                await asyncio.sleep(RETRY_DELAY_S)
        self._record_result(traffic, result)
        return result

    async def _send_attempt(
        self, traffic: TrafficSettings, url: str, headers: dict[str, str], start_s: float
    ) -> CallResult:
        call_id = headers["Ibis-Call-Id"]
        status, outcome, reason, served_by = 0, "unknown", "connection-lost", ""
        try:
            async with self.session.request(traffic.method, url, headers=headers) as response:
                body = await response.read()
                status = response.status
                outcome = response.headers.get("Ibis-Outcome", "unknown")
                reason = response.headers.get("Ibis-Reason", "")
                served_by = response.headers.get("Ibis-Served-By", "")
                if status == 200:
                    outcome = _check_body(outcome, call_id, traffic, body)
        except ClientConnectorError:
            outcome, reason = "not-sent", "no-connection"
        except (ClientError, OSError, TimeoutError):
            outcome, reason = "unknown", "connection-lost"
        latency_ms = (time.monotonic() - start_s) * 1000
        return CallResult(
            call_id, traffic.rank, status, outcome, reason, served_by, latency_ms, time.time()
        )

    def _record_result(self, traffic: TrafficSettings, result: CallResult) -> None:
        self.results.append(result)
        report = self.reports.setdefault(traffic.rank, RankReport())
        report.offered += 1
        if result.outcome == "done":
            report.done += 1
            report.histogram.record_value(max(1, int(result.latency_ms * 1000)))
        elif result.outcome == "not-run":
            report.not_run += 1
        elif result.outcome == "not-sent":
            report.not_sent += 1
        elif result.outcome == "wrong":
            report.wrong_answers += 1
        elif result.outcome == "truncated":
            report.truncated += 1
        else:
            report.unknown += 1


def _request_headers(traffic: TrafficSettings, call_id: str) -> dict[str, str]:
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


def _check_body(outcome: str, call_id: str, traffic: TrafficSettings, body: bytes) -> str:
    """Returns the outcome after a check of the body: JSON with the call id, padded with blanks."""
    if b"}" not in body or len(body) < traffic.answer_bytes:
        return "truncated"
    return outcome if f'"{call_id}"'.encode() in body else "wrong"


async def run_caller(settings: CallerSettings) -> Caller:
    """Sends the configured traffic and returns the caller with its reports."""
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    async with ClientSession(connector=TCPConnector(limit=0), timeout=timeout) as session:
        # By default the session resends a GET when its connection breaks and reports only the
        # second attempt, so a call that ran could be reported as not sent.
        session._retry_connection = False
        caller = Caller(settings, session)
        await caller.run()
    if settings.told_file:
        Path(settings.told_file).write_bytes(msgspec.json.encode(caller.results))
    return caller


def summarize(caller: Caller) -> dict[str, dict[str, float]]:
    """Returns the reports by rank, with percentiles in place of the histograms."""
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
