"""Longest recent service time of each route; a planned stop may cut off what starts later."""

import attrs

PERIOD_S = 60.0  # A time is remembered for one to two periods.
MAX_TRACKED_ROUTES = 4096  # The table is cleared when it reaches this size.


@attrs.define
class LongestServiceTimes:
    """Longest service times of the current and the last period, by route name."""

    _current: dict[str, float] = attrs.field(factory=dict)
    _last: dict[str, float] = attrs.field(factory=dict)
    _period_ends_at_s: float = 0.0

    def record(self, route: str, ran_s: float, now_s: float) -> None:
        """Records how long an instance took for a request."""
        self._advance(now_s)
        if ran_s > self._current.get(route, 0.0):
            self._current[route] = ran_s

    def longest_s(self, route: str, now_s: float) -> float:
        """Returns the longest recent service time of a route, 0 if there is none."""
        self._advance(now_s)
        return max(self._current.get(route, 0.0), self._last.get(route, 0.0))

    def _advance(self, now_s: float) -> None:
        if now_s < self._period_ends_at_s and len(self._current) < MAX_TRACKED_ROUTES:
            return
        is_next = now_s < self._period_ends_at_s + PERIOD_S
        self._last = self._current if is_next else {}
        self._current, self._period_ends_at_s = {}, now_s + PERIOD_S
