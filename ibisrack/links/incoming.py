"""Incoming links: connections on which peers send requests, one task each."""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.clocks import read_monotonic_s, read_uptime_ms
from ibisrack.errors import MessageError, NotRunError, UnknownOutcomeError
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.hosting.runs import Run
from ibisrack.links.frames import (
    LINK_ERRORS,
    enable_dead_peer_detection,
    read_message,
    write_message,
)
from ibisrack.links.incomplete import IncompleteSubmissions
from ibisrack.links.messages import (
    Answered,
    BodyPart,
    Cancel,
    Entries,
    Follow,
    Hello,
    KnownLimit,
    Load,
    OutcomeUnknown,
    Ping,
    Refused,
    RequestEntries,
    Resume,
    Submit,
    Unfollow,
    Withdraw,
)
from ibisrack.links.pacer import LinkPacer, message_bytes
from ibisrack.links.transit import TransitEstimate, shorten_times
from ibisrack.memory.account import Kind, MemoryAccount, create_account
from ibisrack.registry.messages import Revision
from ibisrack.suspects.exchange import SuspectExchange
from ibisrack.suspects.messages import CrashReport, Message, RunCompleted

MAX_UNSENT_BYTES = 64 * 1024  # With more unsent data, changes of the registry are not added.

_LOGGER = logging.getLogger("ibisrack.links")


@attrs.define(eq=False)
class IncomingLink:
    """Connection of a peer that sends requests to this node.

    Attributes:
      instance_runner: Runs the requests.
      current_load: Returns this node's load.
      entries_after: Returns the registry's changes after a revision, None if there are none.
      writer: Writer of the connection.
      peer: IP number of the peer's host.
      suspects: Requests that are suspected of crashing instances.
      pacer: Spaces large bodies on the host's link.
      runs: Requests of this link, by their number, until their answer is written.
      followed_revision: Revision up to which the peer was sent the registry's changes, None while
        it does not follow them here.
      transit: Time that the peer's messages were on their way.
      incomplete: Submissions whose bodies have not arrived whole.
      account: Account of the bytes held for others.
    """

    instance_runner: InstanceRunner
    current_load: Callable[[], Load]
    entries_after: Callable[[Revision], Entries | None]
    writer: asyncio.StreamWriter
    peer: str
    suspects: SuspectExchange = attrs.field(factory=SuspectExchange)
    pacer: LinkPacer = attrs.field(factory=LinkPacer)
    runs: dict[int, Run] = attrs.field(factory=dict)
    followed_revision: Revision | None = None
    transit: TransitEstimate = attrs.field(factory=TransitEstimate)
    incomplete: IncompleteSubmissions = attrs.field(factory=IncompleteSubmissions)
    account: MemoryAccount = attrs.field(factory=create_account)
    _last_sent_load: Load | None = None

    async def serve(self, reader: asyncio.StreamReader) -> None:
        """Handles messages until the connection ends."""
        try:
            while True:
                handle(await read_message(reader), self)
        except LINK_ERRORS as error:
            _LOGGER.info("peer left", extra={"peer": self.peer, "why": type(error).__name__})
        finally:
            self.incomplete.clear()
            for run in self.runs.values():
                # The peer may have resumed it over a newer link before this one ended here.
                if run.delivery_link is self:
                    self.instance_runner.mark_orphaned(run)
            self.writer.transport.abort()

    def min_delay_ms(self, message: Hello | Submit) -> int:
        """Returns how long a message that arrives now was on its way at least."""
        if not message.sent_at_ms:
            return 0
        return int(
            self.transit.min_delay_s(message.sent_at_ms / 1000, read_uptime_ms() / 1000) * 1000
        )

    def attach(self, number: int, run: Run) -> None:
        """Makes this link deliver the result of a run."""
        run.delivery_link = self
        self.runs[number] = run
        self.instance_runner.spawn(self._deliver(number, run))

    async def _deliver(self, number: int, run: Run) -> None:
        result = await self.instance_runner.result(run)
        try:
            if run.delivery_link is self:
                await _send_result(result, self, number, run)
        finally:
            self.runs.pop(number, None)

    def send(self, *messages: Message) -> None:
        """Sends messages about suspects."""
        if messages:
            write_message(self.writer, *messages)

    def send_load_if_changed(self, load: Load) -> None:
        """Sends the current load if it differs from the last one sent."""
        if load != self._last_sent_load and not self.writer.is_closing():
            self._last_sent_load = load
            write_message(self.writer, load)

    def send_followed_entries(self) -> None:
        """Sends the changes of the registry to a peer that follows them.

        While earlier changes wait to be sent, later ones are held back and sent together.
        """
        if self.followed_revision is None or self.writer.is_closing():
            return
        if self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return
        entries = self.entries_after(self.followed_revision)
        if entries is not None:
            self.followed_revision = entries.revision
            write_message(self.writer, entries)

    def refuse(self, number: int, reason: str) -> None:
        """Tells the peer that a request has not run."""
        self.write_with_load(Refused(number, str(reason)))

    def write_with_load(self, message: Answered | Refused | OutcomeUnknown) -> None:
        """Counts and writes a result of a request, and the load if it has changed."""
        self.pacer.record_written(message_bytes(message), read_monotonic_s())
        self.write_part(message)

    def write_part(self, message: Answered | BodyPart | Refused | OutcomeUnknown) -> None:
        """Writes a message that the pacer has counted, followed by the load if it has changed."""
        if self.writer.is_closing():
            return
        load = self.current_load()
        if load == self._last_sent_load:
            write_message(self.writer, message)
        else:
            self._last_sent_load = load
            write_message(self.writer, message, load)


async def serve_link(
    own_hello: Hello,
    create_link: Callable[[asyncio.StreamWriter, str], IncomingLink],
    open_links: set[IncomingLink],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serves one connection of a peer until it ends.

    Args:
      own_hello: Hello of this node.
      create_link: Creates the link from the writer and the IP number of the peer's host.
      open_links: All open links; holds this link while its connection is open.
      reader: Reader of the connection.
      writer: Writer of the connection.
    """
    try:
        await _serve_opened(own_hello, create_link, open_links, reader, writer)
    finally:
        writer.transport.abort()


async def _serve_opened(
    own_hello: Hello,
    create_link: Callable[[asyncio.StreamWriter, str], IncomingLink],
    open_links: set[IncomingLink],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Exchanges Hellos and serves the link; see ``serve_link``."""
    try:
        enable_dead_peer_detection(writer.get_extra_info("socket"))
        hello = await read_message(reader)
    except LINK_ERRORS:
        return
    if not isinstance(hello, Hello):
        return
    link = create_link(writer, hello.host)
    link.min_delay_ms(hello)
    _LOGGER.info("peer joined", extra={"peer": hello.host, "life": hello.process_epoch})
    write_message(writer, own_hello, link.current_load(), *link.suspects.greeting())
    open_links.add(link)
    try:
        await link.serve(reader)
    finally:
        open_links.discard(link)


@singledispatch
def handle(message: Any, link: IncomingLink) -> None:
    """Handles a message from a peer that sends requests."""
    raise MessageError(f"unexpected {type(message).__name__} message on an incoming link")


@handle.register
def _(message: Submit, link: IncomingLink) -> None:
    submit, holding = shorten_times(message, link.min_delay_ms(message)), None
    if submit.body:
        holding = link.account.open(Kind.SUBMISSION, len(submit.body), read_monotonic_s())
        if holding is None:
            link.refuse(submit.number, Reason.MEMORY_FULL)
            return
    if not submit.more:
        link.attach(submit.number, link.instance_runner.start(submit, holding))
        return
    try:
        link.incomplete.begin(submit, holding, read_monotonic_s())
    except NotRunError as error:
        link.refuse(submit.number, error.reason)


@handle.register
def _(message: BodyPart, link: IncomingLink) -> None:
    try:
        complete = link.incomplete.add(message, read_monotonic_s())
    except NotRunError as error:
        link.refuse(message.number, error.reason)
        return
    if complete is not None:
        run = link.instance_runner.start(complete.submit, complete.holding)
        link.attach(message.number, run)


@handle.register
def _(message: Resume, link: IncomingLink) -> None:
    found = link.instance_runner.resume((message.request_id, message.attempt))
    _deliver_resumed(found, link, message.number)


@handle.register
def _(message: KnownLimit, link: IncomingLink) -> None:
    link.instance_runner.learn_limit(message.instance_id, message.limit_per_s)


@handle.register(CrashReport | RunCompleted)
def _(message: CrashReport | RunCompleted, link: IncomingLink) -> None:
    link.suspects.receive(message, link)


@handle.register
def _(message: Cancel, link: IncomingLink) -> None:
    link.incomplete.drop(message.number)
    run = link.runs.pop(message.number, None)
    if run is not None:
        run.delivery_link = None
        link.instance_runner.cancel(run)


@handle.register
def _(message: Withdraw, link: IncomingLink) -> None:
    if link.incomplete.drop(message.number):
        link.refuse(message.number, Reason.WITHDRAWN)
    run = link.runs.get(message.number)
    if run is not None:
        link.instance_runner.refuse(run.submit.request_id, Reason.WITHDRAWN)


@handle.register
def _(message: Ping, link: IncomingLink) -> None:
    write_message(link.writer, link.current_load())


@handle.register
def _(message: RequestEntries, link: IncomingLink) -> None:
    entries = link.entries_after(message.revision)
    if entries is not None:
        write_message(link.writer, entries)


@handle.register
def _(message: Follow, link: IncomingLink) -> None:
    link.followed_revision = message.revision
    link.send_followed_entries()


@handle.register
def _(message: Unfollow, link: IncomingLink) -> None:
    link.followed_revision = None


@singledispatch
def _deliver_resumed(found: object, link: IncomingLink, number: int) -> None:
    """Delivers a run that the peer resumed, now or when it ends, or the result that remains."""
    raise TypeError(f"unexpected {type(found).__name__}")


@_deliver_resumed.register
def _(found: Run, link: IncomingLink, number: int) -> None:
    link.attach(number, found)


@_deliver_resumed.register
def _(found: NotRunError, link: IncomingLink, number: int) -> None:
    link.refuse(number, found.reason)


@_deliver_resumed.register
def _(found: UnknownOutcomeError, link: IncomingLink, number: int) -> None:
    link.write_with_load(OutcomeUnknown(number, str(found.reason)))


@singledispatch
async def _send_result(result: object, link: IncomingLink, number: int, run: Run) -> None:
    raise TypeError(f"unexpected result type {type(result).__name__}")


@_send_result.register(NotRunError | UnknownOutcomeError)
async def _(
    result: NotRunError | UnknownOutcomeError, link: IncomingLink, number: int, run: Run
) -> None:
    _deliver_resumed(result, link, number)


@_send_result.register
async def _(result: Answer, link: IncomingLink, number: int, run: Run) -> None:
    body, part_bytes = result.body, link.pacer.part_bytes
    if len(body) <= part_bytes:
        link.write_with_load(_answer_head(result, number, body, more=False))
        link.instance_runner.mark_delivered(run)
        return
    stream = link.pacer.open_stream(len(body))
    try:
        while stream.unwritten_bytes:
            offset = len(body) - stream.unwritten_bytes
            part = body[offset : offset + part_bytes]
            await link.writer.drain()
            await stream.wait_for_part(len(part))
            if run.delivery_link is not link:
                return  # The peer has cancelled the request, or has resumed it over another link.
            more = stream.unwritten_bytes > 0
            if offset == 0:
                link.write_part(_answer_head(result, number, part, more))
            else:
                link.write_part(BodyPart(number, part, more))
        link.instance_runner.mark_delivered(run)
    except OSError:
        return  # The peer requests the result again over its next link.
    finally:
        stream.close()


def _answer_head(result: Answer, number: int, first_part: bytes, more: bool) -> Answered:
    """Returns the message with the head of an answer and the first part of its body."""
    headers, ran_ms = tuple(result.headers.items()), round(result.ran_s * 1000)
    return Answered(number, result.status, headers, first_part, ran_ms, more)
