"""Outgoing links: one task for each peer, which connects, reads answers and reconnects.

When a link breaks, its unanswered requests are resumed over the next link: the peer returns the
result, continues to run the request, or refuses it for good.  Until then their outcome is open: a
peer that can't be reached may still run them.  Only the end of its process makes the outcome final.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable
from contextlib import suppress

import attrs

from ibisrack.calls.messages import Answer
from ibisrack.calls.outcomes import Reason
from ibisrack.calls.retry import Result
from ibisrack.clocks import read_monotonic_s, read_uptime_ms
from ibisrack.errors import MessageError, NotRunError, PeerLostError, UnknownOutcomeError
from ibisrack.links.frames import (
    LINK_ERRORS,
    enable_dead_peer_detection,
    read_message,
    write_message,
)
from ibisrack.links.messages import (
    BodyPart,
    Cancel,
    Entries,
    Follow,
    Hello,
    KnownLimit,
    Load,
    Ping,
    RequestEntries,
    Resume,
    Submit,
    Unfollow,
    Withdraw,
)
from ibisrack.links.outgoing_messages import handle
from ibisrack.links.pacer import LinkPacer, message_bytes
from ibisrack.links.pending import AbandonedRequests, PendingRequest, set_result
from ibisrack.links.reconnection import CONNECT_RETRY_PAUSE_S, reconnect_pause_s
from ibisrack.links.silence import PeerSilence, SilenceAction
from ibisrack.memory.account import MemoryAccount, create_account
from ibisrack.registry.messages import Revision
from ibisrack.registry.sources import Candidate
from ibisrack.suspects.exchange import SuspectExchange
from ibisrack.suspects.messages import Message

CONNECT_TIMEOUT_S = 0.3
# Maximum time that a request waits for a peer whose last connection failed.  A peer that is back
# accepts at once; if it is still unreachable, the request goes to another instance.
FAILING_CONNECT_WAIT_S = 0.03
IDLE_TIME_S = 10.0  # Time without a request after which a link is idle.

_LOGGER = logging.getLogger("ibisrack.links")


@attrs.define(eq=False)
class OutgoingLink:
    """Link to one peer.

    Attributes:
      own_hello: Hello of this node.
      host: IP number of the peer's host.
      port: TCP port on which the peer accepts links.
      on_entries: Called with this link and changes of the registry from the peer.
      on_leaving: Called with id and start of the peer's instance when it is about to end.
      suspects: Requests that are suspected of crashing instances.
      check_waited: Called with a request that has waited for the link; raises NotRunError if it
        must not be sent any more.
      on_availability: Called with the peer's host when it reports a change of whether it reads or
        may read the registry, and when a connection with it ends.
      load: Last load that the peer reported, None before the first.
      known_limit: Last limit that the peer reported of its instance, None before the first.
      silence: When the peer was last heard and pinged.
      losses: Number of connections that broke after the peer's Hello.
      failing: Whether the last connection broke or could not be opened; cleared by the next Hello.
      peer_epoch: Epoch of the peer's process, empty while the link is not open.
      peer_link_mbps: Bandwidth of the peer's host in Mbit/s, 0 before its first Hello.
      following: Whether the peer was asked for the changes of the registry on this connection.
      used_at_s: Monotonic time of the last request.
      pending: Unanswered requests by their number.
      pacer: Spaces large bodies on the host's link.
      account: Account of the bytes held for others.
    """

    own_hello: Hello
    host: str
    port: int
    on_entries: Callable[["OutgoingLink", Entries], None]
    on_leaving: Callable[[str, int], None]
    suspects: SuspectExchange = attrs.field(factory=SuspectExchange)
    check_waited: Callable[[Submit], None] = attrs.field(default=lambda submit: None)
    on_availability: Callable[[str], None] = attrs.field(default=lambda host: None)
    load: Load | None = None
    known_limit: KnownLimit | None = None
    silence: PeerSilence = attrs.field(factory=PeerSilence)
    losses: int = 0
    failing: bool = False
    peer_epoch: str = ""
    peer_link_mbps: float = 0.0
    following: bool = False
    used_at_s: float = 0.0
    pending: dict[int, PendingRequest] = attrs.field(factory=dict)
    pacer: LinkPacer = attrs.field(factory=LinkPacer)
    account: MemoryAccount = attrs.field(factory=create_account)
    _writer: asyncio.StreamWriter | None = None
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _open_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _state_changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    _abandoned: AbandonedRequests = attrs.field(factory=AbandonedRequests)
    _unusable_messages: int = 0  # Consecutive connections that ended with one.
    _closed_as_idle: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the peer has sent its Hello on the current connection."""
        return bool(self.peer_epoch)

    def next_number(self) -> int:
        """Returns the number for a new request."""
        return next(self._numbers)

    async def run(self, submit: Submit, may_leave: Callable[[], bool]) -> Answer:
        """Runs a request at the peer.

        Args:
          submit: The request.
          may_leave: Returns whether another instance is tried while the peer can't be reached.

        Raises:
          NotRunError: The request did not run.
          PeerLostError: The peer can't be reached and another instance is to be tried.
          UnknownOutcomeError: The request may have run, and its result can't arrive any more.
        """
        self.used_at_s = read_monotonic_s()
        if not self.is_open:
            await self._wait_until_open(submit.remaining_ms / 1000)
            self.check_waited(submit)
        pending = PendingRequest(
            submit,
            asyncio.get_running_loop().create_future(),
            self.peer_epoch,
            may_leave,
            read_monotonic_s() + submit.remaining_ms / 1000,
        )
        self.pending[submit.number] = pending
        if len(submit.body) <= self.pacer.part_bytes:
            self.pacer.record_written(message_bytes(submit), read_monotonic_s())
            write_message(self._writer, submit)
            return await self.result(pending)
        pending.is_sent = False
        sending = asyncio.create_task(self._send_parts(pending, self._writer))
        try:
            return await self.result(pending)
        finally:
            sending.cancel()

    async def _send_parts(self, pending: PendingRequest, writer: asyncio.StreamWriter) -> None:
        """Sends a submission with a large body in parts, while the connection is open."""
        submit, part_bytes = pending.submit, self.pacer.part_bytes
        stream = self.pacer.open_stream(len(submit.body))
        try:
            while stream.unwritten_bytes:
                offset = len(submit.body) - stream.unwritten_bytes
                part = submit.body[offset : offset + part_bytes]
                await writer.drain()
                await stream.wait_for_part(len(part))
                if writer is not self._writer or pending.future.done():
                    return
                more = stream.unwritten_bytes > 0
                if offset == 0:
                    write_message(writer, attrs.evolve(submit, body=part, more=more))
                else:
                    write_message(writer, BodyPart(submit.number, part, more))
                pending.is_sent = not more
        except OSError:
            return  # The request ends with the connection.
        finally:
            stream.close()

    async def result(self, pending: PendingRequest) -> Answer:
        """Waits for the result of a pending request, which is abandoned if the wait is cancelled.

        Raises: see ``run``.
        """
        try:
            return await pending.future
        except asyncio.CancelledError:
            self.abandon(pending)
            raise

    def abandon(self, pending: PendingRequest, result: Result | None = None) -> None:
        """Cancels a request at the peer, also over the next link.

        Args:
          pending: The request.
          result: Passed to its waiter, None if nobody waits.
        """
        if self.pending.pop(pending.submit.number, None) is None:
            return
        pending.drop_parts()
        if result is None:
            pending.future.cancel()
        elif not pending.future.done():
            set_result(result, pending.future)
        self._abandoned.add(pending, read_monotonic_s())
        if self._writer is None:
            self.request_open()
        else:
            write_message(self._writer, Cancel(pending.submit.number))

    def complete(self, pending: PendingRequest, result: Result) -> None:
        """Passes the result of a pending request to its waiter."""
        self.pending.pop(pending.submit.number, None)
        pending.drop_parts()
        if not pending.future.done():
            set_result(result, pending.future)

    def give_up_answer(self, pending: PendingRequest) -> bool:
        """Ends a request whose answer does not fit into the memory; returns True."""
        self.abandon(pending, UnknownOutcomeError(Reason.TOO_LARGE))
        return True

    def request_entries(self, revision: Revision) -> None:
        """Requests the registry's changes if the peer has seen a later revision."""
        if self.is_open:
            write_message(self._writer, RequestEntries(revision))

    def follow(self, revision: Revision) -> None:
        """Requests the registry's changes after a revision, now and while the link is open."""
        if self.is_open and not self.following:
            self.following = True
            write_message(self._writer, Follow(revision))

    def unfollow(self) -> None:
        """Ends the delivery of the registry's changes."""
        if self.is_open and self.following:
            write_message(self._writer, Unfollow())
        self.following = False

    def candidate(self, now_s: float) -> Candidate:
        """Returns the peer as a source of the registry's changes."""
        # Only a peer that is followed or has requests is pinged; others count while their link is
        # open.
        is_usable = self.load is not None and not self.silence.is_unresponsive(now_s)
        return Candidate(
            self.host,
            self.peer_link_mbps,
            available=is_usable and self.load.may_read_registry,
            delivering=is_usable and self.load.reads_registry,
        )

    def send(self, *messages: Message) -> None:
        """Sends messages about suspects if the link is open."""
        if self.is_open and messages:
            write_message(self._writer, *messages)

    def withdraw(self, submit: Submit, is_final: bool) -> None:
        """Makes the peer refuse a pending request if it has not started.

        Args:
          submit: The request.
          is_final: Whether the request ends here if the link is not open, because this node stops
            before the result could arrive.
        """
        pending = self.pending.get(submit.number)
        if pending is None:
            return
        if not pending.is_sent:
            # Its last part is not sent any more, and the peer drops the others.
            write_message(self._writer, Cancel(submit.number))
            self.complete(pending, NotRunError(Reason.WITHDRAWN))
            return
        if self.is_open and not pending.withdrawn:
            write_message(self._writer, Withdraw(submit.number))
        pending.withdrawn = True
        if is_final and not self.is_open:
            self.complete(pending, UnknownOutcomeError(Reason.PEER_UNREACHABLE))

    def request_open(self) -> None:
        """Signals the task of this link to connect."""
        self._open_requested.set()

    def is_idle(self, now_s: float) -> bool:
        """Returns whether the link is open and was not used lately."""
        is_used = self.pending or self._abandoned or self.following
        return self.is_open and not is_used and now_s - self.used_at_s >= IDLE_TIME_S

    def close_idle(self) -> None:
        """Closes an idle link; the next request opens it again."""
        self._closed_as_idle = True
        self._writer.transport.abort()
        # A request that comes before the task of the link sees the end waits for a new connection.
        self._writer, self.peer_epoch = None, ""
        self._open_requested.clear()

    def check_silence(self, now_s: float) -> None:
        """Pings a silent peer that is followed or has unanswered requests.

        A link with unanswered requests is aborted if the peer does not answer the ping.
        """
        if self._writer is None or not (self.pending or self.following):
            return
        action = self.silence.next_action(bool(self.pending), now_s)
        if action is SilenceAction.PING:
            write_message(self._writer, Ping())
        elif action is SilenceAction.ABORT:
            self._writer.transport.abort()

    async def maintain(self) -> None:
        """Connects when requested and reconnects while the peer holds requests; never returns."""
        while True:
            await self._open_requested.wait()
            pause_s = CONNECT_RETRY_PAUSE_S
            try:
                await self._run_connection()
            except ConnectionRefusedError as error:  # No process listens there any more.
                self._record_failure(error)
                self._fail_pending(Reason.PEER_STOPPED)
            except LINK_ERRORS as error:
                if self._closed_as_idle:
                    continue
                is_unusable = isinstance(error, MessageError)
                self._unusable_messages = self._unusable_messages + 1 if is_unusable else 0
                pause_s = reconnect_pause_s(self.is_open, self._unusable_messages)
                self._record_failure(error)
                if not self.is_open:
                    self._leave_peer()
            finally:
                await self._handle_closed()
            self._abandoned.drop_expired(read_monotonic_s())
            if not self.pending and not self._abandoned:
                self._open_requested.clear()
            await asyncio.sleep(pause_s)

    def _record_failure(self, error: BaseException) -> None:
        """Counts and logs a lost link; logs only the first of consecutive connect failures."""
        if self.is_open or not self.failing:
            extra = {
                "peer": self.host,
                "was_open": self.is_open,
                "unanswered": len(self.pending),
                "silent_ms": round((read_monotonic_s() - self.silence.heard_at_s) * 1000),
                "why": f"{type(error).__name__} {error}".strip(),
            }
            _LOGGER.warning("link lost", extra=extra)
        self.losses += self.is_open
        self.failing = True

    async def _run_connection(self) -> None:
        """Connects, exchanges Hellos, resumes pending requests and reads until the link ends."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            try:
                enable_dead_peer_detection(writer.get_extra_info("socket"))
                write_message(writer, attrs.evolve(self.own_hello, sent_at_ms=read_uptime_ms()))
                hello = await read_message(reader)
            except BaseException:
                writer.transport.abort()
                raise
        if not isinstance(hello, Hello):
            writer.transport.abort()
            raise MessageError("the first message of the peer is not a Hello")
        self.peer_link_mbps = hello.link_mbps
        await self._handle_opened(writer, hello.process_epoch)
        while True:
            handle(await read_message(reader, self._record_data), self)

    def _record_data(self) -> None:
        """Records that bytes of the peer arrived, also of a message that is not complete yet."""
        self.silence.heard_at_s = read_monotonic_s()

    async def _handle_opened(self, writer: asyncio.StreamWriter, peer_epoch: str) -> None:
        self._writer, self.peer_epoch = writer, peer_epoch
        self.failing = False
        self.silence.heard_at_s = read_monotonic_s()
        self._abandoned.drop_expired(self.silence.heard_at_s)
        extra = {
            "peer": self.host,
            "life": peer_epoch,
            "unanswered": len(self.pending),
            "abandoned": len(self._abandoned),
        }
        _LOGGER.info("link open", extra=extra)
        if self.known_limit is not None:
            write_message(writer, self.known_limit)
        self.send(*self.suspects.greeting())
        write_message(writer, *self._abandoned.cancellations(peer_epoch))
        for pending in tuple(self.pending.values()):
            self._resume(pending)
        async with self._state_changed:
            self._state_changed.notify_all()

    def _resume(self, pending: PendingRequest) -> None:
        pending.drop_parts()
        if pending.peer_epoch != self.peer_epoch:
            # The process that received the request has ended, so its outcome can't be known.
            self.complete(pending, UnknownOutcomeError(Reason.PEER_RESTARTED))
            return
        submit = pending.submit
        write_message(self._writer, Resume(submit.number, submit.request_id, submit.attempt))
        if pending.withdrawn:
            write_message(self._writer, Withdraw(submit.number))

    def _leave_peer(self) -> None:
        """Lets the senders of pending requests try other instances; the requests stay pending."""
        for pending in tuple(self.pending.values()):
            if pending.left or pending.future.done() or not pending.may_leave():
                continue
            pending.left = True
            waiter, pending.future = pending.future, asyncio.get_running_loop().create_future()
            attempt = OutstandingAttempt(self, pending)
            waiter.set_exception(PeerLostError(Reason.PEER_UNREACHABLE, attempt))

    def _fail_pending(self, reason: Reason) -> None:
        """Ends all pending requests with an unknown outcome."""
        for pending in tuple(self.pending.values()):
            self.complete(pending, UnknownOutcomeError(reason))

    def _refuse_unsent(self) -> None:
        """Ends the requests that the peer can't have run, because it lacks part of the body."""
        for pending in tuple(self.pending.values()):
            if not pending.is_sent:
                self.complete(pending, NotRunError(Reason.LINK_LOST))

    async def _handle_closed(self) -> None:
        writer, self._writer, self.peer_epoch, self.load = self._writer, None, "", None
        self.following = False
        if writer is not None:
            writer.transport.abort()
            self.on_availability(self.host)
        self._refuse_unsent()
        if self._closed_as_idle:  # Requests that came since wait for the next connection.
            self._closed_as_idle = False
            return
        async with self._state_changed:
            self._state_changed.notify_all()

    async def _wait_until_open(self, remaining_s: float) -> None:
        """Waits until the link is open.

        Raises:
          NotRunError: The link was not opened in time.
        """
        self.request_open()
        timeout_s = FAILING_CONNECT_WAIT_S if self.failing else CONNECT_TIMEOUT_S
        with suppress(TimeoutError):
            async with asyncio.timeout(min(remaining_s, timeout_s)), self._state_changed:
                await self._state_changed.wait()
        if not self.is_open:
            raise NotRunError(Reason.UPSTREAM_UNREACHABLE)


@attrs.frozen(eq=False)
class OutstandingAttempt:
    """Attempt at a peer that can't be reached, while its sender tries another instance.

    Attributes:
      link: Link to the peer.
      pending: The request.
    """

    link: OutgoingLink
    pending: PendingRequest

    @property
    def instance_id(self) -> str:
        """Instance to which the request was sent."""
        return self.pending.submit.instance_id

    async def result(self) -> Answer:
        """Waits for the result; see ``OutgoingLink.run``."""
        return await self.link.result(self.pending)

    def abandon(self) -> None:
        """Cancels the request at the peer."""
        self.link.abandon(self.pending)
