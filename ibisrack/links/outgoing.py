"""The sending end of a link: one task for each peer, which connects, reads answers and reconnects.

A request whose link broke is not lost: over the next link the peer is asked what became of it.
The peer answers with the result, goes on running the request, or refuses it for good.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable
from contextlib import suppress
from functools import singledispatch
from typing import Any

import attrs
from multidict import CIMultiDict

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_clocks
from ibisrack.errors import MessageError, NotRunError, UnknownOutcomeError
from ibisrack.links.frames import BROKEN, detect_silence, read_message, write_message
from ibisrack.links.messages import (
    Answered,
    AskEntries,
    BodyPart,
    Cancel,
    Entries,
    Hello,
    Load,
    Ping,
    Refused,
    Resume,
    Submit,
    Unknown,
    Withdraw,
)

CONNECT_TIMEOUT_S = 0.3
# Longest wait for a peer that could not be reached before: one that is back answers at once, and a
# request for one that is not goes elsewhere.
RETRIED_CONNECT_WAIT_S = 0.03
RECONNECT_PAUSE_S = 0.1
BROKEN_PAUSE_S = 0.01  # Before the first connect after a link that worked broke.
PING_AFTER_S = 0.25  # Silence of a peer that has requests before it is asked for a sign of life.
SILENT_AFTER_S = 0.8  # Silence after which the link is replaced.

_LOGGER = logging.getLogger("ibisrack.links")


@attrs.define(eq=False)
class Pending:
    """A request that the peer has not answered.

    Attributes:
      submit: What was sent.
      future: Takes the result.
      life: The peer's process to which it was sent.
      parts: Parts of an answer that is not complete yet.
      answered: Head of that answer.
    """

    submit: Submit
    future: asyncio.Future
    life: str
    parts: list[bytes] = attrs.field(factory=list)
    answered: Answered | None = None


@attrs.define(eq=False)
class PeerLink:
    """The link to one peer.

    Attributes:
      own: What this node says of itself.
      host: IP number of the peer's machine.
      port: TCP port of its links.
      load: Its last report, None before the first.
      heard_at_s: Monotonic time of the last message.
      losses: Connections that broke after the peer had said hello.
      failing: Whether the last connection broke and no other one has been opened since.
      life: Identity of the peer's process, empty while there is no link.
      learn_entries: Takes the registry's content that the peer sent.
    """

    own: Hello
    host: str
    port: int
    learn_entries: Callable[[Entries], None]
    load: Load | None = None
    heard_at_s: float = 0.0
    losses: int = 0
    failing: bool = False
    life: str = ""
    pending: dict[int, Pending] = attrs.field(factory=dict)
    _writer: asyncio.StreamWriter | None = None
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    _changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    _pinged_at_s: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the peer has said hello on the present connection."""
        return bool(self.life)

    def next_number(self) -> int:
        """Returns a number for a new request."""
        return next(self._numbers)

    async def run(self, submit: Submit) -> Answer:
        """Runs a request at the peer.

        Raises:
          NotRunError: The request did not run.
          UnknownOutcomeError: The request may have run.
        """
        if not self.is_open:
            await self._connected(submit.left_ms / 1000)
        future = asyncio.get_running_loop().create_future()
        self.pending[submit.number] = Pending(submit, future, self.life)
        if len(self.pending) == 1:
            # Silence counts from the moment at which the peer has something to answer.
            self.heard_at_s = max(self.heard_at_s, read_clocks().monotonic_s)
        write_message(self._writer, submit)
        try:
            return await future
        except asyncio.CancelledError:
            if self._writer is not None:
                write_message(self._writer, Cancel(submit.number))
            raise
        finally:
            self.pending.pop(submit.number, None)

    def ask_entries(self, revision: int) -> None:
        """Asks the peer for the registry's content if it has seen more than ``revision``."""
        if self.is_open:
            write_message(self._writer, AskEntries(revision))

    def withdraw(self) -> None:
        """Asks the peer to refuse the requests that it has not started."""
        if self.is_open:
            write_message(self._writer, *(Withdraw(number) for number in self.pending))

    def want(self) -> None:
        """Lets the link be opened."""
        self._wanted.set()

    def check(self, now_s: float) -> None:
        """Asks a peer that is silent for a sign of life and gives up a link that stays silent."""
        if not self.pending or self._writer is None:
            return
        silent_s = now_s - self.heard_at_s
        if silent_s >= SILENT_AFTER_S:
            self._writer.transport.abort()
        elif silent_s >= PING_AFTER_S and now_s - self._pinged_at_s >= PING_AFTER_S:
            self._pinged_at_s = now_s
            write_message(self._writer, Ping())

    async def keep(self) -> None:
        """Keeps the link open while it is wanted: the task of this peer."""
        while True:
            await self._wanted.wait()
            pause_s = RECONNECT_PAUSE_S
            try:
                await self._converse()
            except BROKEN as error:
                pause_s = BROKEN_PAUSE_S if self.is_open else RECONNECT_PAUSE_S
                self._lost(error)
            finally:
                await self._closed()
            if not self.pending:
                self._wanted.clear()
            await asyncio.sleep(pause_s)

    def _lost(self, error: BaseException) -> None:
        """Logs the end of a link; of connects that fail in a row, only the first."""
        if self.is_open or not self.failing:
            extra = {
                "peer": self.host,
                "was_open": self.is_open,
                "unanswered": len(self.pending),
                "silent_ms": round((read_clocks().monotonic_s - self.heard_at_s) * 1000),
                "why": f"{type(error).__name__} {error}".strip(),
            }
            _LOGGER.warning("link lost", extra=extra)
        self.losses += self.is_open
        self.failing = True

    async def _converse(self) -> None:
        """Connects, says hello, asks for the results that are due and reads until the end."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            try:
                detect_silence(writer.get_extra_info("socket"))
                write_message(writer, self.own)
                hello = await read_message(reader)
            except BaseException:
                writer.transport.abort()
                raise
        if not isinstance(hello, Hello):
            writer.transport.abort()
            raise MessageError("the peer did not say hello")
        await self._opened(writer, hello.life)
        while True:
            message = await read_message(reader)
            self.heard_at_s = read_clocks().monotonic_s
            receive(message, self)

    async def _opened(self, writer: asyncio.StreamWriter, life: str) -> None:
        self._writer, self.life = writer, life
        self.failing = False
        extra = {"peer": self.host, "life": life, "unanswered": len(self.pending)}
        _LOGGER.info("link open", extra=extra)
        self.heard_at_s = read_clocks().monotonic_s
        for pending in tuple(self.pending.values()):
            self._resume(pending)
        async with self._changed:
            self._changed.notify_all()

    def _resume(self, pending: Pending) -> None:
        pending.parts.clear()
        pending.answered = None
        if pending.life != self.life:
            # The process that had the request has ended; nobody can tell what it did.
            settle(pending, UnknownOutcomeError(Reason.CONNECTION_LOST))
            return
        submit = pending.submit
        write_message(self._writer, Resume(submit.number, submit.request_id, submit.attempt))

    async def _closed(self) -> None:
        writer, self._writer, self.life, self.load = self._writer, None, "", None
        if writer is not None:
            writer.transport.abort()
        else:  # The peer could not be reached: what may be repeated need not wait for it.
            for pending in tuple(self.pending.values()):
                if pending.submit.repeatable:
                    settle(pending, UnknownOutcomeError(Reason.CONNECTION_LOST))
        async with self._changed:
            self._changed.notify_all()

    async def _connected(self, left_s: float) -> None:
        """Waits for the link.

        Raises:
          NotRunError: There is none in time.
        """
        self.want()
        longest_s = RETRIED_CONNECT_WAIT_S if self.failing else CONNECT_TIMEOUT_S
        with suppress(TimeoutError):
            async with asyncio.timeout(min(left_s, longest_s)), self._changed:
                await self._changed.wait()
        if not self.is_open:
            raise NotRunError(Reason.UPSTREAM_UNREACHABLE)


def settle(pending: Pending, result: Answer | Exception) -> None:
    """Ends a pending request."""
    if pending.future.done():
        return
    if isinstance(result, Exception):
        pending.future.set_exception(result)
    else:
        pending.future.set_result(result)


@singledispatch
def receive(message: Any, link: PeerLink) -> None:
    """Takes a message of the peer."""
    raise MessageError(f"a peer sent {type(message).__name__} on a link of this node")


@receive.register
def _(message: Load, link: PeerLink) -> None:
    link.load = message


@receive.register
def _(message: Answered, link: PeerLink) -> None:
    pending = link.pending.get(message.number)
    if pending is None:
        return
    if message.more:
        pending.answered = message
        pending.parts = [message.body]
        return
    settle(pending, _answer(message, message.body))


@receive.register
def _(message: BodyPart, link: PeerLink) -> None:
    pending = link.pending.get(message.number)
    if pending is None or pending.answered is None:
        return
    pending.parts.append(message.body)
    if not message.more:
        settle(pending, _answer(pending.answered, b"".join(pending.parts)))


@receive.register
def _(message: Refused, link: PeerLink) -> None:
    if pending := link.pending.get(message.number):
        settle(pending, NotRunError(message.reason))


@receive.register
def _(message: Unknown, link: PeerLink) -> None:
    if pending := link.pending.get(message.number):
        settle(pending, UnknownOutcomeError(message.reason))


@receive.register
def _(message: Entries, link: PeerLink) -> None:
    link.learn_entries(message)


def _answer(head: Answered, body: bytes) -> Answer:
    return Answer(head.status, CIMultiDict(head.headers), body)
