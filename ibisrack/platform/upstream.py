"""Sends requests to the local instance over HTTP and validates its answers."""

import asyncio
import re
from collections.abc import Callable, Mapping

import attrs
from aiohttp import ClientError
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.pace import MAX_RATE_PER_S
from ibisrack.calls.relay import forwardable_headers
from ibisrack.clocks import read_monotonic_s
from ibisrack.decimals import MAX_NUMBER_CHARS
from ibisrack.errors import NotRunError, UnknownOutcomeError
from ibisrack.hosting.notices import Notice
from ibisrack.links.messages import Submit
from ibisrack.memory.account import Holding
from ibisrack.platform.headers import (
    CALLER_SERVICE,
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    LEAVING,
    LIMIT,
    NOT_EXECUTED,
    REQUEST_ID,
    SIGNATURE,
    as_latin1,
)
from ibisrack.upstreams.answer_memory import AnswerMemory
from ibisrack.upstreams.connection import (
    Connection,
    declared_bytes,
    has_http_status,
    has_verifiable_end,
)
from ibisrack.upstreams.connections import ConnectionPool, is_reusable

MISDIRECTED = 421  # HTTP status: another instance now listens at the address.
# The node that sent the request gives it up at its deadline.  This node ends a request later, and
# so only if that node could not cancel it; the instance is then not counted as failing.
DEADLINE_GRACE_S = 0.25
MAX_COPIED_BODY_BYTES = 64 * 1024
MAX_STALE_ANSWERS = 4  # Answers to earlier requests that are skipped before the request fails.

_LIMIT = re.compile(r"([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]{1,3})?")
_CONNECTION_ERRORS = (ClientError, HttpProcessingError, OSError)
_METHODS_WITHOUT_BODY = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))


@attrs.define(eq=False)
class HttpUpstream:
    """Sends requests to the instance on the same host as the node.

    Attributes:
      pool: Connections to the instance.
      memory: Memory for the answers that are being read.
      on_notice: Called with what each answer says of the instance.
      check_waited: Called with a request that has waited for a connection; raises NotRunError if it
        must not be sent any more.
    """

    pool: ConnectionPool
    memory: AnswerMemory
    on_notice: Callable[[Notice], None] = attrs.field(default=lambda notice: None)
    check_waited: Callable[[Submit], None] = attrs.field(default=lambda submit: None)

    async def send(
        self,
        submit: Submit,
        remaining_s: float,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Answer:
        """Sends a request; see ibisrack.hosting.runner.Upstream."""
        remaining_ms = int(remaining_s * 1000)
        if remaining_ms <= 0:
            raise NotRunError(Reason.DEADLINE)
        head = _encode_head(submit, remaining_ms)
        ends_at_s = asyncio.get_running_loop().time() + remaining_s + DEADLINE_GRACE_S
        connection = self.pool.take_idle()
        # Compared with None because a connection without unread answers is falsy.
        if connection is None:
            connection = await self._acquire(ends_at_s)
            self._check_waited(submit, connection)
        if not is_reusable(connection):  # It ended, or bytes arrived, after it was assigned.
            self.pool.discard(connection)
            raise NotRunError(Reason.UPSTREAM_UNREACHABLE)
        try:
            connection.set_response_params(
                skip_payload=submit.method == "HEAD",
                read_until_eof=True,
                auto_decompress=False,
            )
            on_sent()
            _write_request(connection.transport, head, submit.body)
            async with asyncio.timeout_at(ends_at_s):
                answer = await self._read_answer(connection, submit)
        except TimeoutError as error:
            self.pool.discard(connection)
            raise UnknownOutcomeError(Reason.DEADLINE) from error
        except _CONNECTION_ERRORS as error:
            self.pool.discard(connection)
            raise UnknownOutcomeError(Reason.CONNECTION_LOST) from error
        except BaseException:
            self.pool.discard(connection)
            raise
        self.pool.release(connection)
        return answer

    async def _acquire(self, ends_at_s: float) -> Connection:
        try:
            async with asyncio.timeout_at(ends_at_s):
                return await self.pool.acquire()
        except TimeoutError as error:
            raise NotRunError(Reason.DEADLINE) from error

    def _check_waited(self, submit: Submit, connection: Connection) -> None:
        try:
            self.check_waited(submit)
        except NotRunError:
            self.pool.release(connection)
            raise

    async def _read_answer(self, connection: Connection, submit: Submit) -> Answer:
        requested_at_s = read_monotonic_s()
        message, body, holding = await self._read_matching_answer(connection, submit)
        headers = message.headers
        is_from_instance = SIGNATURE in headers or NOT_EXECUTED in headers
        if is_from_instance and message.code != MISDIRECTED:
            self.on_notice(_read_notice(headers, submit.instance_id, requested_at_s))
        if NOT_EXECUTED in headers:
            if message.code == MISDIRECTED:
                raise NotRunError(Reason.MISDIRECTED)
            raise NotRunError(Reason.SHED)
        if message.code == MISDIRECTED:
            raise NotRunError(Reason.MISDIRECTED)
        if "Content-Encoding" in headers or SIGNATURE not in headers:
            raise UnknownOutcomeError(Reason.WRONG_ANSWER)
        headers = as_latin1(forwardable_headers(headers))
        return Answer(message.code, headers, body, holding=holding)

    async def _read_matching_answer(
        self, connection: Connection, submit: Submit
    ) -> tuple[RawResponseMessage, bytes, Holding]:
        """Reads the answer to a request and skips late answers to earlier ones."""
        stale_answers = 0
        while True:
            message, content = await connection.read()
            if not has_http_status(message):
                raise UnknownOutcomeError(Reason.WRONG_ANSWER)
            if message.code < 200:
                continue
            if declared_bytes(message) > self.memory.max_answer_bytes:
                raise UnknownOutcomeError(Reason.TOO_LARGE)
            body, holding = await self.memory.read_body(connection, content)
            if connection.failed and not has_verifiable_end(message, submit.method):
                # Such an answer is complete only after a clean close.
                raise UnknownOutcomeError(Reason.CONNECTION_LOST)
            if _answers_request(message, submit, connection):
                return message, body, holding
            stale_answers += 1
            connection.force_close()
            if stale_answers > MAX_STALE_ANSWERS:
                raise UnknownOutcomeError(Reason.WRONG_ANSWER)


def _write_request(transport: asyncio.Transport, head: bytes, body: bytes) -> None:
    """Writes a request, in one packet if it is short, and without a copy of a large body."""
    if len(body) <= MAX_COPIED_BODY_BYTES:
        transport.write(head + body)
    else:
        transport.write(head)
        transport.write(body)


def _answers_request(message: RawResponseMessage, submit: Submit, connection: Connection) -> bool:
    """Returns whether an answer belongs to a request; False for one to another request.

    Raises:
      UnknownOutcomeError: The answer has no id.  Only on a connection without earlier requests must
        it be the answer to this one.
    """
    answered_id = message.headers.get(REQUEST_ID)
    if answered_id is None and connection.requests > 1:
        raise UnknownOutcomeError(Reason.WRONG_ANSWER)
    return answered_id in (None, submit.request_id)


def _read_notice(headers: Mapping[str, str], instance_id: str, requested_at_s: float) -> Notice:
    """Returns what the headers of an answer say of the instance."""
    return Notice(
        instance_id, requested_at_s, _parse_limit(headers.get(LIMIT)), headers.get(LEAVING) == "1"
    )


def _parse_limit(text: str | None) -> float | None:
    """Returns a limit in requests per second, None without a valid one."""
    if text is None or len(text) > MAX_NUMBER_CHARS or not _LIMIT.fullmatch(text):
        return None
    limit_per_s = float(text)
    return limit_per_s if limit_per_s <= MAX_RATE_PER_S else None


def _encode_head(submit: Submit, remaining_ms: int) -> bytes:
    """Returns the head of a request.

    Raises:
      NotRunError: A field has characters that HTTP can't carry.
    """
    lines = [f"{submit.method} {submit.target} HTTP/1.1", f"Host: {submit.host}"]
    lines += [f"{name}: {value}" for name, value in submit.headers]
    lines += [
        f"{REQUEST_ID}: {submit.request_id}",
        f"{DEADLINE_MS}: {remaining_ms}",
        f"{EXPECTED_INSTANCE}: {submit.instance_id}",
        f"{CALLER_SERVICE}: {submit.caller_service}",
    ]
    if submit.body or submit.method not in _METHODS_WITHOUT_BODY:
        lines.append(f"Content-Length: {len(submit.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    try:
        return head.encode("latin-1")
    except UnicodeEncodeError as error:
        raise NotRunError(Reason.BAD_REQUEST) from error
