"""Idempotency keys of callers: parsing, the store of accepted keys, and decisions about repeats.

A key is a UUIDv7, so it holds the time of its creation.  The home of a key, the instance that
runs the calls with it, stores every key that it accepted and that was created since
``complete_from_ms``.  For an older key that is not stored, the outcome is unknown, because the call
may have run.
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

# Twice the largest assumed difference between the clocks of two hosts, or of a caller and a host.
MAX_CLOCK_SKEW_MS = 2000
MAX_KEY_AHEAD_MS = MAX_CLOCK_SKEW_MS // 2
# A list of instances reaches every node within this time (design, section 9).
LIST_PROPAGATION_MS = 12_000
KEY_RETENTION_MS = 600_000
MAX_KEYS = 50_000  # About 10 MB; allows 80 keyed calls a second over the retention.
MAX_TOTAL_ANSWER_BYTES = 8 * 1024 * 1024
MAX_KEPT_ANSWER_BYTES = 256 * 1024

HTTP_NOT_FOUND = 404

_UUID_TEXT_LENGTH = 36
_FINGERPRINT_BYTES = 16


@attrs.frozen
class Key:
    """An idempotency key.

    Attributes:
      text: The key in lower case.
      time_ms: Time of creation by the caller's clock, in milliseconds since the epoch.
    """

    text: str
    time_ms: int


def parse_key(text: str) -> Key:
    """Parses a key.

    Raises:
      RequestError: The text is not a UUIDv7.
    """
    try:
        value = uuid.UUID(text) if len(text) == _UUID_TEXT_LENGTH else None
    except ValueError:
        value = None
    if value is None or value.version != 7:
        raise RequestError("Idempotency-Key must be a UUIDv7")
    return Key(str(value), value.int >> 80)


def is_keyed(call: Call) -> bool:
    """Returns whether a call must run at most once, however often its key is sent."""
    return bool(call.idempotency_key) and not call.route.idempotent


def is_forwarded_keyed(context: CallContext) -> bool:
    """Returns whether another node forwarded a call with a key, which is looked up in any state."""
    return context.forwarded and bool(context.idempotency_key)


@singledispatch
def outcome_before_key_lookup(error: IbisError, context: CallContext) -> Outcome:
    """Returns the outcome of a call that was refused before its key was looked up.

    It is not NOT_RUN if the call has a key, because an earlier call with that key may have run.
    """
    return Outcome.UNKNOWN if context.idempotency_key else Outcome.NOT_RUN


@outcome_before_key_lookup.register
def _(error: RequestError, context: CallContext) -> Outcome:
    if error.status != HTTP_NOT_FOUND:
        return Outcome.NOT_RUN  # No node ever accepts a malformed request.
    return Outcome.UNKNOWN if context.idempotency_key else Outcome.NOT_RUN


def fingerprint(call: Call) -> bytes:
    """Returns a digest of the request that detects reuse of a key for another request."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (call.method.encode(), call.route.host.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


@attrs.frozen
class RunNow:
    """The key is new: run the call."""


@attrs.frozen
class JoinRunning:
    """A call with the key is running: wait for its result."""


@attrs.frozen
class ReplayAnswer:
    """A call with the key has finished: return its stored answer."""

    answer: Answer


@attrs.frozen
class OutcomeUnknown:
    """A call with the key ran or may have run, and no answer is stored."""

    reason: Reason


@attrs.frozen
class RefuseRequest:
    """The request did not run and must not run now."""

    reason: Reason


KeyDecision = RunNow | JoinRunning | ReplayAnswer | OutcomeUnknown | RefuseRequest


@attrs.define
class _Entry:
    """State of one key.

    Attributes:
      key: The key.
      fingerprint: Digest of the request that used the key first.
      result: Decision about repeats, None while the call runs.
      ended_ms: Wall time at which the call ended.
      answer_bytes: Size of the stored answer.
    """

    key: Key
    fingerprint: bytes
    result: ReplayAnswer | OutcomeUnknown | None = None
    ended_ms: int = 0
    answer_bytes: int = 0


@attrs.define
class KeyStore:
    """Keys that this instance accepted, bounded in age, count and bytes of answers.

    Dropping a key raises ``complete_from_ms`` above its time of creation, so a dropped key is never
    taken for a new one.

    Attributes:
      complete_from_ms: Every accepted key created at or after this time is stored.
      max_keys: Maximum number of stored keys.
      max_total_answer_bytes: Maximum total size of stored answers.
    """

    complete_from_ms: int
    max_keys: int = MAX_KEYS
    max_total_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES
    _entries: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    _ended: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    _kept_answers: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    _kept_bytes: int = 0

    def __len__(self) -> int:
        """Returns the number of stored keys."""
        return len(self._entries)

    def accept(self, key: Key, request: bytes, home_since_ms: int, now_ms: int) -> KeyDecision:
        """Decides about an arrival of a key; after RunNow the key counts as running.

        Args:
          key: The key.
          request: Fingerprint of the request.
          home_since_ms: Wall time since which this instance is the home of the key.
          now_ms: Current wall time.
        """
        self._drop_expired(now_ms)
        entry = self._entries.get(key.text)
        if entry is not None:
            return _decide_known_key(entry, request)
        if key.time_ms > now_ms + MAX_KEY_AHEAD_MS:
            return OutcomeUnknown(Reason.KEY_AHEAD)
        settled_ms = home_since_ms + LIST_PROPAGATION_MS + MAX_CLOCK_SKEW_MS
        if key.time_ms < max(self.complete_from_ms, settled_ms):
            return OutcomeUnknown(Reason.KEY_TOO_OLD)
        if len(self._entries) >= self.max_keys and not self._drop_oldest():
            return RefuseRequest(Reason.QUEUE_FULL)
        self._entries[key.text] = _Entry(key, request)
        return RunNow()

    def record_not_run(self, key: Key) -> None:
        """Forgets the key of a call that was refused, so that a repeat may run."""
        self._entries.pop(key.text, None)

    def record_done(self, key: Key, answer: Answer, now_ms: int) -> None:
        """Stores the answer of a finished call for its repeats."""
        if answer.rest is not None or len(answer.body) > MAX_KEPT_ANSWER_BYTES:
            self._record_end(key, OutcomeUnknown(Reason.ANSWER_NOT_KEPT), now_ms)
            return
        entry = self._record_end(key, ReplayAnswer(answer), now_ms)
        entry.answer_bytes = len(answer.body)
        self._kept_answers[key.text] = entry
        self._kept_bytes += entry.answer_bytes
        while self._kept_bytes > self.max_total_answer_bytes:
            self._drop_answer(next(iter(self._kept_answers)))

    def record_unknown(self, key: Key, reason: Reason, now_ms: int) -> None:
        """Records that the call may have run; repeats get the same unknown outcome."""
        self._record_end(key, OutcomeUnknown(reason), now_ms)

    def _record_end(self, key: Key, result: ReplayAnswer | OutcomeUnknown, now_ms: int) -> _Entry:
        entry = self._entries[key.text]
        entry.result = result
        entry.ended_ms = now_ms
        self._ended[key.text] = entry
        return entry

    def _drop_expired(self, now_ms: int) -> None:
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if oldest.ended_ms + KEY_RETENTION_MS > now_ms:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> bool:
        """Drops the key whose call ended first; keys of running calls are never dropped."""
        if not self._ended:
            return False
        text, entry = self._ended.popitem(last=False)
        self._drop_answer(text)
        del self._entries[text]
        self.complete_from_ms = max(self.complete_from_ms, entry.key.time_ms + 1)
        return True

    def _drop_answer(self, text: str) -> None:
        entry = self._kept_answers.pop(text, None)
        if entry is not None:
            self._kept_bytes -= entry.answer_bytes
            entry.result = OutcomeUnknown(Reason.ANSWER_NOT_KEPT)


def _decide_known_key(entry: _Entry, request: bytes) -> KeyDecision:
    if entry.fingerprint != request:
        return RefuseRequest(Reason.KEY_REUSED)
    return entry.result or JoinRunning()
