"""Callers' own keys: parsing, the ledger of what ran, and the answers that repeats get.

A key is a UUIDv7, so it tells when it was made.  The home of a key knows every key that it
accepted since ``vouch_from_ms``; of an older key that it does not know it cannot say whether the
call ran, and the answer is unknown.
"""

import hashlib
import uuid
from collections import OrderedDict
from functools import singledispatch

import attrs

from ibisrack.calls.headers import CallContext
from ibisrack.calls.messages import Answer, Call
from ibisrack.calls.outcomes import Outcome, Reason
from ibisrack.errors import IbisError, RequestError

# The clocks of two hosts differ by at most half of the skew, and so may a caller's clock be ahead.
CLOCK_SKEW_MS = 2000
MAX_AHEAD_MS = CLOCK_SKEW_MS // 2
SETTLE_MS = 12_000  # A list of instances reaches every node within this time (design, section 9).
RETENTION_MS = 600_000
MAX_ENTRIES = 50_000  # About 10 MB; 80 keyed calls a second over the retention.
MAX_ANSWERS_BYTES = 8 * 1024 * 1024
MAX_ANSWER_BYTES = 256 * 1024

HTTP_NOT_FOUND = 404

_KEY_CHARACTERS = 36
_FINGERPRINT_BYTES = 16


@attrs.frozen
class Key:
    """A caller's key.

    Attributes:
      text: The key in lower case.
      time_ms: Milliseconds since the epoch at which the caller made the key.
    """

    text: str
    time_ms: int


def parse_key(text: str) -> Key:
    """Reads a key.

    Raises:
      RequestError: The text is not a UUIDv7.
    """
    try:
        value = uuid.UUID(text) if len(text) == _KEY_CHARACTERS else None
    except ValueError:
        value = None
    if value is None or value.version != 7:
        raise RequestError("Idempotency-Key must be a UUIDv7")
    return Key(str(value), value.int >> 80)


def is_keyed(call: Call) -> bool:
    """Returns whether a call runs at most once over all its repeats."""
    return bool(call.idempotency_key) and not call.route.idempotent


def asks_home(context: CallContext) -> bool:
    """Returns whether another node asks this one about a key, which it answers in any state."""
    return context.forwarded and bool(context.idempotency_key)


@singledispatch
def unmatched_outcome(error: IbisError, context: CallContext) -> Outcome:
    """Returns the outcome of a call that was refused before its key could be looked up.

    An earlier call with the key may have run, so the refusal does not say not-run.
    """
    return Outcome.UNKNOWN if context.idempotency_key else Outcome.NOT_RUN


@unmatched_outcome.register
def _(error: RequestError, context: CallContext) -> Outcome:
    if error.status != HTTP_NOT_FOUND:
        return Outcome.NOT_RUN  # A malformed request is refused everywhere and at any time.
    return Outcome.UNKNOWN if context.idempotency_key else Outcome.NOT_RUN


def fingerprint(call: Call) -> bytes:
    """Returns a digest of the request, to tell a repeat from another use of the key."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (call.method.encode(), call.route.host.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


@attrs.frozen
class Fresh:
    """The key is new here: the call may run."""


@attrs.frozen
class Joined:
    """A call with the key runs: wait for its end."""


@attrs.frozen
class Replayed:
    """A call with the key ran: this was its answer."""

    answer: Answer


@attrs.frozen
class Unanswerable:
    """A call with the key ran or may have run, and its answer is not known here."""

    reason: Reason


@attrs.frozen
class Rejected:
    """The request did not run and does not run now."""

    reason: Reason


Verdict = Fresh | Joined | Replayed | Unanswerable | Rejected


@attrs.define
class _Entry:
    """What is known of one key; without verdict while the call runs."""

    key: Key
    fingerprint: bytes
    verdict: Replayed | Unanswerable | None = None
    ended_ms: int = 0
    answer_bytes: int = 0


@attrs.define
class KeyLedger:
    """The keys that this instance accepted; bounded in time, count and bytes.

    A key that is dropped raises ``vouch_from_ms`` above its time, so a dropped key can never be
    taken for a new one.

    Attributes:
      vouch_from_ms: Keys made at or after this time are known here if they ran here.
      max_entries: Keys that are kept.
      max_answers_bytes: Bytes of answers that are kept.
    """

    vouch_from_ms: int
    max_entries: int = MAX_ENTRIES
    max_answers_bytes: int = MAX_ANSWERS_BYTES
    _entries: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    _ended: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    _stored: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    _stored_bytes: int = 0

    def __len__(self) -> int:
        """Returns the number of keys kept."""
        return len(self._entries)

    def accept(self, key: Key, request: bytes, home_since_ms: int, now_ms: int) -> Verdict:
        """Decides about an arrival of a key; a fresh key counts as running from now on.

        Args:
          key: The key.
          request: Fingerprint of the request.
          home_since_ms: Since when this instance is the home of the key.
          now_ms: Wall time.
        """
        self._drop_old(now_ms)
        entry = self._entries.get(key.text)
        if entry is not None:
            return _known(entry, request)
        if key.time_ms > now_ms + MAX_AHEAD_MS:
            return Unanswerable(Reason.KEY_AHEAD)
        settled_ms = home_since_ms + SETTLE_MS + CLOCK_SKEW_MS
        if key.time_ms < max(self.vouch_from_ms, settled_ms):
            return Unanswerable(Reason.KEY_TOO_OLD)
        if len(self._entries) >= self.max_entries and not self._drop_oldest():
            return Rejected(Reason.QUEUE_FULL)
        self._entries[key.text] = _Entry(key, request)
        return Fresh()

    def not_run(self, key: Key) -> None:
        """Notes that the call was refused; a repeat may run."""
        self._entries.pop(key.text, None)

    def done(self, key: Key, answer: Answer, now_ms: int) -> None:
        """Keeps the answer of a call for its repeats."""
        if answer.rest is not None or len(answer.body) > MAX_ANSWER_BYTES:
            self._end(key, Unanswerable(Reason.ANSWER_NOT_KEPT), now_ms)
            return
        entry = self._end(key, Replayed(answer), now_ms)
        entry.answer_bytes = len(answer.body)
        self._stored[key.text] = entry
        self._stored_bytes += entry.answer_bytes
        while self._stored_bytes > self.max_answers_bytes:
            self._drop_answer(next(iter(self._stored)))

    def unknown(self, key: Key, reason: Reason, now_ms: int) -> None:
        """Notes that the call may have run; its repeats are told the same."""
        self._end(key, Unanswerable(reason), now_ms)

    def _end(self, key: Key, verdict: Replayed | Unanswerable, now_ms: int) -> _Entry:
        entry = self._entries[key.text]
        entry.verdict = verdict
        entry.ended_ms = now_ms
        self._ended[key.text] = entry
        return entry

    def _drop_old(self, now_ms: int) -> None:
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if oldest.ended_ms + RETENTION_MS > now_ms:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> bool:
        """Drops the key that ended first; running keys are never dropped."""
        if not self._ended:
            return False
        text, entry = self._ended.popitem(last=False)
        self._drop_answer(text)
        del self._entries[text]
        self.vouch_from_ms = max(self.vouch_from_ms, entry.key.time_ms + 1)
        return True

    def _drop_answer(self, text: str) -> None:
        entry = self._stored.pop(text, None)
        if entry is not None:
            self._stored_bytes -= entry.answer_bytes
            entry.verdict = Unanswerable(Reason.ANSWER_NOT_KEPT)


def _known(entry: _Entry, request: bytes) -> Verdict:
    if entry.fingerprint != request:
        return Rejected(Reason.KEY_REUSED)
    return entry.verdict or Joined()
