"""The receiving end of a link: one task for each connection of a peer."""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.errors import MessageError, NotRunError, UnknownOutcomeError
from ibisrack.hosting.runner import InstanceRunner
from ibisrack.hosting.runs import Run
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

PART_BYTES = 64 * 1024  # Larger answers are sent in parts, so that they don't hold up others.

_LOGGER = logging.getLogger("ibisrack.links")


@attrs.define(eq=False)
class ServedLink:
    """A connection of a peer.

    Attributes:
      host: Runs the requests.
      report: Returns this node's load.
      entries: Returns the registry's content that is newer than a revision, or None.
      writer: Writes to the connection.
      peer: IP number of the peer's machine.
      runs: Requests of this link that were not answered.
    """

    host: InstanceRunner
    report: Callable[[], Load]
    entries: Callable[[int], Entries | None]
    writer: asyncio.StreamWriter
    peer: str
    runs: dict[int, Run] = attrs.field(factory=dict)
    _reported: Load | None = None

    async def serve(self, reader: asyncio.StreamReader) -> None:
        """Takes messages until the connection ends."""
        try:
            while True:
                receive(await read_message(reader), self)
        except BROKEN as error:
            _LOGGER.info("peer left", extra={"peer": self.peer, "why": type(error).__name__})
        finally:
            for run in self.runs.values():
                self.host.mark_orphaned(run)
            self.writer.transport.abort()

    def begin(self, number: int, run: Run) -> None:
        """Takes over the delivery of a run's result."""
        run.delivery_link = self
        self.runs[number] = run
        self.host.spawn(self._deliver(number, run))

    async def _deliver(self, number: int, run: Run) -> None:
        result = await self.host.result(run)
        if run.delivery_link is not self:
            return
        self.runs.pop(number, None)
        await _send(result, self, number)

    def tell_load(self) -> None:
        """Sends the load if it has changed."""
        load = self.report()
        if load != self._reported and not self.writer.is_closing():
            self._reported = load
            write_message(self.writer, load)

    def write(self, message: Any) -> None:
        """Writes a message with the present load."""
        if self.writer.is_closing():
            return
        load = self.report()
        if load == self._reported:
            write_message(self.writer, message)
        else:
            self._reported = load
            write_message(self.writer, message, load)


async def serve_link(
    own: Hello,
    open_link: Callable[[asyncio.StreamWriter, str], ServedLink],
    links: set[ServedLink],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serves a connection: the task of a peer that sends requests here.

    Args:
      own: What this node says of itself.
      open_link: Makes the link of a connection from its writer and the IP number of the peer.
      links: The open links; this one is among them while it lasts.
      reader: Reads from the connection.
      writer: Writes to it.
    """
    try:
        detect_silence(writer.get_extra_info("socket"))
        hello = await read_message(reader)
    except BROKEN:
        writer.transport.abort()
        return
    if not isinstance(hello, Hello):
        writer.transport.abort()
        return
    link = open_link(writer, hello.node)
    _LOGGER.info("peer joined", extra={"peer": hello.node, "life": hello.life})
    write_message(writer, own, link.report())
    links.add(link)
    try:
        await link.serve(reader)
    finally:
        links.discard(link)


@singledispatch
def receive(message: Any, link: ServedLink) -> None:
    """Takes a message of a peer that sends requests."""
    raise MessageError(f"a peer sent {type(message).__name__} on a link of its own")


@receive.register
def _(message: Submit, link: ServedLink) -> None:
    link.begin(message.number, link.host.start(message))


@receive.register
def _(message: Resume, link: ServedLink) -> None:
    run = link.host.resume((message.request_id, message.attempt))
    if run is None:
        link.write(Refused(message.number, Reason.NEVER_RECEIVED))
    else:
        link.begin(message.number, run)


@receive.register
def _(message: Cancel, link: ServedLink) -> None:
    run = link.runs.pop(message.number, None)
    if run is not None:
        link.host.cancel(run)


@receive.register
def _(message: Withdraw, link: ServedLink) -> None:
    run = link.runs.get(message.number)
    if run is not None:
        link.host.gate.refuse(run.submit.request_id, Reason.WITHDRAWN)


@receive.register
def _(message: Ping, link: ServedLink) -> None:
    write_message(link.writer, link.report())


@receive.register
def _(message: AskEntries, link: ServedLink) -> None:
    entries = link.entries(message.revision)
    if entries is not None:
        write_message(link.writer, entries)


@singledispatch
async def _send(result: object, link: ServedLink, number: int) -> None:
    raise TypeError(f"unknown result {type(result).__name__}")


@_send.register
async def _(result: NotRunError, link: ServedLink, number: int) -> None:
    link.write(Refused(number, str(result.reason)))


@_send.register
async def _(result: UnknownOutcomeError, link: ServedLink, number: int) -> None:
    link.write(Unknown(number, str(result.reason)))


@_send.register
async def _(result: Answer, link: ServedLink, number: int) -> None:
    headers = tuple(result.headers.items())
    body = result.body
    more = len(body) > PART_BYTES
    link.write(Answered(number, result.status, headers, body[:PART_BYTES], more))
    for start in range(PART_BYTES, len(body), PART_BYTES):
        try:
            await link.writer.drain()
        except OSError:
            return  # The peer asks for the result over its next link.
        part = body[start : start + PART_BYTES]
        link.write(BodyPart(number, part, start + PART_BYTES < len(body)))
