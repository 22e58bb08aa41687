"""Bounds how long the messages of a peer were on their way, although clocks of hosts differ.

For each message, the time of arrival on this host's clock minus the time of sending on the peer's
clock is the offset of the clocks plus the time on the way.  The smallest of the latest differences
contains the shortest time on the way, so a message was on its way for at least as long as its
difference exceeds the smallest one.  The bound never exceeds the true time, but for the drift of
the clocks.  They must count the times for which a host is suspended; otherwise every later message
of a host that was suspended would seem to be late.
"""

import math

import attrs

from ibisrack.links.messages import Submit

# The smallest difference is taken over one to two windows.  Two clocks that drift apart by 500
# parts in a million, the most that time synchronisation applies, differ by 30 ms after 60 s.
WINDOW_S = 30.0


@attrs.define
class TransitEstimate:
    """Differences between the clocks of a peer and of this host, as its messages arrive."""

    _window_start_s: float = -math.inf
    _previous_min_s: float = math.inf
    _current_min_s: float = math.inf

    def min_delay_s(self, sent_at_s: float, now_s: float) -> float:
        """Adds a message and returns how long it was on its way at least.

        Args:
          sent_at_s: Uptime of the peer's host at the time of sending.
          now_s: Uptime of this host at the arrival.
        """
        difference_s = now_s - sent_at_s
        self._advance(now_s)
        self._current_min_s = min(self._current_min_s, difference_s)
        return difference_s - min(self._current_min_s, self._previous_min_s)

    def _advance(self, now_s: float) -> None:
        """Starts a new window when the current one is over."""
        age_s = now_s - self._window_start_s
        if age_s < WINDOW_S:
            return
        self._previous_min_s = self._current_min_s if age_s < 2 * WINDOW_S else math.inf
        self._current_min_s = math.inf
        self._window_start_s = now_s


def shorten_times(submit: Submit, delay_ms: int) -> Submit:
    """Returns a submission whose remaining times do not include its time on the way so far."""
    if not delay_ms:
        return submit
    return attrs.evolve(
        submit,
        remaining_ms=submit.remaining_ms - delay_ms,
        remaining_target_ms=submit.remaining_target_ms - delay_ms,
    )
