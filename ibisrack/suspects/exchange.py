"""Keeps the suspects of this node, and passes on to its peers what is new about them.

The node that sees a crash tells all its peers.  These pass it on to a few peers each, for nodes
that have no link with the first one.  In a fleet where all are linked, passing it on to all would
take messages in the square of its size, at a moment when many instances may crash.
"""

from collections.abc import Callable, Iterable
from functools import singledispatch
from random import Random
from typing import Protocol

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.instances.model import Instance
from ibisrack.membership.gossip import transmit_limit
from ibisrack.suspects.fingerprint import Fingerprinted
from ibisrack.suspects.messages import CrashReport, Message, RunCompleted
from ibisrack.suspects.recorder import SuspectRecorder
from ibisrack.suspects.table import CLEAR, MAX_SUSPECTS_PER_CRASH, SuspectTable, Verdict


class PeerLink(Protocol):
    """An open link to a peer, in either direction."""

    def send(self, *messages: Message) -> None:
        """Sends messages to the peer."""


@attrs.define(eq=False)
class SuspectExchange:
    """The suspects of this node.

    Attributes:
      links: Returns the links to peers.
      table: What is known of crashes and suspects.
      recorder: Counts and logs verdicts.
      rng: Selects the peers to which the news of another node are passed on.
      on_verdict: Called with each new verdict and the fingerprint that it is on.
    """

    links: Callable[[], Iterable[PeerLink]] = attrs.field(default=lambda: ())
    table: SuspectTable = attrs.field(factory=SuspectTable)
    recorder: SuspectRecorder = attrs.field(factory=SuspectRecorder)
    rng: Random = attrs.field(factory=Random)
    on_verdict: Callable[[Verdict, bytes], None] = attrs.field(
        default=lambda verdict, fingerprint: None
    )

    def verdict(self, request: Fingerprinted) -> Verdict:
        """Returns the verdict on a request."""
        if not self.table.has_suspects:
            return CLEAR
        return self.table.verdict(request.fingerprint, read_monotonic_s())

    def is_down(self, instance: Instance) -> bool:
        """Returns whether an instance has crashed and its entry is still listed."""
        if not self.table.has_crashes:
            return False
        start = instance.start
        return self.table.is_down(start, read_monotonic_s())

    def report_crash(
        self,
        instance: Instance,
        requests: Iterable[Fingerprinted],
        quarantined: Iterable[Fingerprinted],
    ) -> None:
        """Records a crash of the instance beside this node.

        Args:
          instance: The instance.
          requests: Requests that it ran.
          quarantined: Those of them that ran in quarantine.
        """
        report = CrashReport(
            instance.instance_id,
            instance.started_at_ms,
            _distinct_fingerprints(requests),
            _distinct_fingerprints(quarantined),
            0,
        )
        self.receive(report, None)

    def record_completed(self, request: Fingerprinted) -> None:
        """Records that the instance beside this node has answered a request."""
        if self.verdict(request) is not CLEAR:
            self.receive(RunCompleted(request.fingerprint), None)

    def receive(self, message: Message, source: PeerLink | None) -> None:
        """Applies a message, and passes it on if it was news.

        Args:
          message: The message.
          source: Link on which it arrived, None if this node is the first to send it.
        """
        is_news = _apply(message, self)
        if source is not None:
            _correct(message, source, self)
        if not is_news:
            return
        links = [link for link in self.links() if link is not source]
        if source is not None:
            links = self.rng.sample(links, min(len(links), transmit_limit(len(links))))
        for link in links:
            link.send(message)

    def greeting(self) -> tuple[CrashReport, ...]:
        """Returns the messages for a peer that may know nothing."""
        return self.table.reports(read_monotonic_s())


def _distinct_fingerprints(requests: Iterable[Fingerprinted]) -> tuple[bytes, ...]:
    """Returns the fingerprints that a report may name."""
    distinct = dict.fromkeys(request.fingerprint for request in requests)
    return tuple(distinct)[:MAX_SUSPECTS_PER_CRASH]


@singledispatch
def _apply(message: object, suspects: SuspectExchange) -> bool:
    """Applies a message to the table; returns whether it was news."""
    raise TypeError(f"unknown message {type(message).__name__}")


@_apply.register
def _(message: CrashReport, suspects: SuspectExchange) -> bool:
    now_s = read_monotonic_s()
    known = {f: suspects.table.verdict(f, now_s) for f in message.suspects}
    is_new = suspects.table.record_crash(message, now_s)
    for fingerprint, before in known.items():
        after = suspects.table.verdict(fingerprint, now_s)
        if after != before:
            suspects.recorder.record_verdict(fingerprint, after, message.instance_id)
            suspects.on_verdict(after, fingerprint)
    return is_new


@_apply.register
def _(message: RunCompleted, suspects: SuspectExchange) -> bool:
    now_s = read_monotonic_s()
    before = suspects.table.verdict(message.fingerprint, now_s)
    is_new = suspects.table.record_completion(message, now_s)
    suspects.recorder.record_cleared(message.fingerprint, before)
    suspects.on_verdict(CLEAR, message.fingerprint)
    return is_new


@singledispatch
def _correct(message: object, source: PeerLink, suspects: SuspectExchange) -> None:
    """Tells the sender of a message what it contradicts."""


@_correct.register
def _(message: CrashReport, source: PeerLink, suspects: SuspectExchange) -> None:
    completions = suspects.table.completions_after(message, read_monotonic_s())
    if completions:
        source.send(*completions)
