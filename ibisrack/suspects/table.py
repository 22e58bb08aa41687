"""Suspects and the crashes at which they ran.

A crash ends all runs of an instance, of which at most one is to blame.  A request that no instance
has answered since a crash is blocked when an instance crashes under it again that ran it in
quarantine, as the only suspect there.  Runs that were open on several instances already block
nobody, however many crashed: these may have had one cause, and a blocked request runs nowhere, so
that no answer could clear it.  A blocked request is refused for a time that doubles with each
further crash in quarantine.  Any answer of an instance to it clears it, so that requests with equal
paths, and runs that other crashes ended, are soon cleared.
"""

from math import ceil

import attrs

from ibisrack.instances.model import InstanceStart
from ibisrack.suspects.messages import CrashReport, RunCompleted

BLOCKING_CRASHES = 2  # If the request ran in quarantine at one of them.
# How long a blocked request is refused; each further crash in quarantine doubles the time.
FIRST_BLOCK_S = 30.0
MAX_BLOCK_S = 3600.0
SUSPECT_TTL_S = 600.0  # A suspect, or a request whose block is over, is forgotten after this time.
# A peer that was cut off reports crashes that answers followed, for as long as it has suspects.
COMPLETION_TTL_S = SUSPECT_TTL_S
COMPLETION_NEWS_S = 5.0  # Longer than the report of an answer takes to reach all nodes.
# An instance that crashed counts as down for this time, unless it is listed with a new start.  Its
# entry is removed or replaced within it.
DOWN_S = 6.0

MAX_CRASHES = 256  # Starts of instances of which crashes are remembered.
MAX_CRASHES_PER_START = 16
MAX_SUSPECTS = 4096
MAX_COMPLETIONS = 1024
MAX_SUSPECTS_PER_CRASH = 256


@attrs.frozen
class Clear:
    """Nothing speaks against the request."""


@attrs.frozen
class Suspected:
    """The request ran at crashes, or its block is over.

    Attributes:
      crashes: Number of crashes at which it ran.
    """

    crashes: int


@attrs.frozen
class Blocked:
    """The request crashes the instances that run it.

    Attributes:
      crashes: Number of crashes at which it ran.
      until_s: Monotonic time until which it is refused.
    """

    crashes: int
    until_s: float


Verdict = Clear | Suspected | Blocked
CLEAR = Clear()


@attrs.define
class Suspect:
    """A request that ran at crashes.

    Attributes:
      crashes: Number of these crashes.
      last_crash_at_s: Monotonic time of the last one.
      quarantined_crashes: Number of those at which it ran in quarantine.
    """

    crashes: int = 0
    last_crash_at_s: float = float("-inf")
    quarantined_crashes: int = 0

    @property
    def block_ends_at_s(self) -> float:
        """Monotonic time until which it is refused, before any time if it is not blocked."""
        if not self.quarantined_crashes or self.crashes < BLOCKING_CRASHES:
            return float("-inf")
        # The exponent is limited because the time is, and a float has a largest value.
        doublings = min(self.quarantined_crashes - 1, 10)
        return self.last_crash_at_s + min(MAX_BLOCK_S, FIRST_BLOCK_S * 2**doublings)

    def verdict(self, now_s: float) -> Verdict:
        """Returns the verdict at a time."""
        if now_s < self.block_ends_at_s:
            return Blocked(self.crashes, self.block_ends_at_s)
        return Suspected(self.crashes)

    def is_expired(self, now_s: float) -> bool:
        """Returns whether it is to be forgotten."""
        return now_s >= max(self.last_crash_at_s, self.block_ends_at_s) + SUSPECT_TTL_S


@attrs.frozen
class RecordedCrash:
    """A crash of an instance.

    Attributes:
      at_s: Monotonic time of the crash.
      suspects: Fingerprints of the requests that the instance ran.
      repeated: Those of them that ran in quarantine.
    """

    at_s: float
    suspects: tuple[bytes, ...]
    repeated: tuple[bytes, ...]


@attrs.define
class SuspectTable:
    """Recent crashes, the requests that ran at them, and which of these were answered since."""

    # An instance may start again under its id while its old entry still stands.
    _crashes: dict[InstanceStart, list[RecordedCrash]] = attrs.field(factory=dict)
    _suspects: dict[bytes, Suspect] = attrs.field(factory=dict)
    _completed_at_s: dict[bytes, float] = attrs.field(factory=dict)

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is remembered."""
        return bool(self._crashes)

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected or blocked."""
        return bool(self._suspects)

    def verdict(self, fingerprint: bytes, now_s: float) -> Verdict:
        """Returns the verdict on a request."""
        suspect = self._suspects.get(fingerprint)
        return CLEAR if suspect is None else suspect.verdict(now_s)

    def verdicts(self, now_s: float) -> list[Verdict]:
        """Returns the verdicts on all suspects."""
        return [suspect.verdict(now_s) for suspect in self._suspects.values()]

    def is_down(self, start: InstanceStart, now_s: float) -> bool:
        """Returns whether a start of an instance has crashed so recently that it may be listed."""
        return any(now_s < crash.at_s + DOWN_S for crash in self._crashes.get(start, ()))

    def record_crash(self, report: CrashReport, now_s: float) -> bool:
        """Records a crash; returns whether it was new.

        Reports of the same start within DOWN_S are of the same crash.
        """
        start = (report.instance_id, report.started_at_ms)
        at_s = now_s - report.age_ms / 1000
        crashes = self._crashes.setdefault(start, [])
        if any(abs(at_s - crash.at_s) <= DOWN_S for crash in crashes):
            return False
        suspects = report.suspects[:MAX_SUSPECTS_PER_CRASH]
        repeated = tuple(f for f in suspects if f in report.repeated)
        crashes.append(RecordedCrash(at_s, suspects, repeated))
        del crashes[:-MAX_CRASHES_PER_START]
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        for fingerprint in dict.fromkeys(suspects):
            # An answer may overtake the report of a crash before it.
            if self._completed_at_s.get(fingerprint, float("-inf")) < at_s:
                self._add_crash(fingerprint, at_s, fingerprint in repeated)
        return True

    def record_completion(self, message: RunCompleted, now_s: float) -> bool:
        """Clears a request that an instance answered; returns whether that is news."""
        fingerprint = message.fingerprint
        last_at_s = self._completed_at_s.pop(fingerprint, float("-inf"))
        self._completed_at_s[fingerprint] = now_s
        if len(self._completed_at_s) > MAX_COMPLETIONS:
            del self._completed_at_s[next(iter(self._completed_at_s))]
        was_suspect = self._suspects.pop(fingerprint, None) is not None
        return was_suspect or now_s - last_at_s >= COMPLETION_NEWS_S

    def completions_after(self, report: CrashReport, now_s: float) -> tuple[RunCompleted, ...]:
        """Returns the answers to its suspects since a crash, which its sender may not know.

        A request that ran at a later crash is left out: the answer says nothing of that one.
        """
        at_s = now_s - report.age_ms / 1000
        return tuple(
            RunCompleted(fingerprint)
            for fingerprint in dict.fromkeys(report.suspects[:MAX_SUSPECTS_PER_CRASH])
            if fingerprint not in self._suspects
            and self._completed_at_s.get(fingerprint, float("-inf")) >= at_s
        )

    def reports(self, now_s: float) -> tuple[CrashReport, ...]:
        """Returns the crashes with the requests that are still suspects, for a new peer."""
        return tuple(
            CrashReport(
                instance_id,
                started_at_ms,
                tuple(f for f in crash.suspects if f in self._suspects),
                tuple(f for f in crash.repeated if f in self._suspects),
                # Rounded up: an answer a moment after the crash must not count as before it.
                ceil((now_s - crash.at_s) * 1000),
            )
            for (instance_id, started_at_ms), crashes in self._crashes.items()
            for crash in crashes
        )

    def expire(self, now_s: float) -> None:
        """Forgets what is too old to matter."""
        for fingerprint in [f for f, s in self._suspects.items() if s.is_expired(now_s)]:
            del self._suspects[fingerprint]
        for fingerprint in [
            f for f, at_s in self._completed_at_s.items() if now_s - at_s >= COMPLETION_TTL_S
        ]:
            del self._completed_at_s[fingerprint]
        for start, crashes in tuple(self._crashes.items()):
            crashes[:] = [crash for crash in crashes if self._matters(crash, now_s)]
            if not crashes:
                del self._crashes[start]

    def _matters(self, crash: RecordedCrash, now_s: float) -> bool:
        """Returns whether the instance may be down, or a request that it ran is a suspect."""
        return now_s < crash.at_s + DOWN_S or any(f in self._suspects for f in crash.suspects)

    def _add_crash(self, fingerprint: bytes, at_s: float, is_repeated: bool) -> None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._forget_one()
            suspect = self._suspects[fingerprint] = Suspect()
        suspect.crashes += 1
        suspect.quarantined_crashes += is_repeated
        suspect.last_crash_at_s = max(suspect.last_crash_at_s, at_s)

    def _forget_one(self) -> None:
        """Forgets the request with the fewest crashes, the oldest of these."""
        weakest = min(
            self._suspects,
            key=lambda f: (self._suspects[f].crashes, self._suspects[f].last_crash_at_s),
        )
        del self._suspects[weakest]
