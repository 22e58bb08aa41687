"""Guaranteed shares of slot time: one account of credit for each rank.

While calls of a rank wait, the rank earns credit at the rate of its share; with enough credit it is
served before more urgent ranks.  Credit is counted in slot seconds.  The cost of a call is known
only at its end, so an estimate is charged at its start and corrected at its end.
"""

import attrs

# A rank overrides strict precedence only when it is owed this time of its share.  Near saturation,
# urgent calls above their share then wait 1.35 times as long in a bulk flood; with 0.1 s they wait
# 1.50 times as long (docs/calls.md).
SHORTFALL_GRACE_S = 0.4
MAX_CREDIT_S = 1.0  # Credit is capped at this time of the share; must exceed SHORTFALL_GRACE_S.
MAX_DEBT_S = 0.3  # Debt is capped at this time of the share, so a rank recovers soon after a flood.


@attrs.define
class ShareAccount:
    """Credit of one rank.

    Attributes:
      rate: Guaranteed slot seconds per second.
      credit_s: Slot seconds of the share that the rank has not used; negative (debt) after use
        above the share.
      updated_s: Monotonic time of the last update.
    """

    rate: float = 0.0
    credit_s: float = 0.0
    updated_s: float = 0.0

    def advance(self, waiting: bool, mean_s: float, now_s: float) -> None:
        """Adds the credit earned since the last update.

        Debt shrinks at any time; credit above zero is earned only while calls wait, so an idle
        rank cannot save credit for a burst.

        Args:
          waiting: Whether the rank had waiting calls and was below its own limit.
          mean_s: Estimated slot time of one call.
          now_s: Current monotonic time.
        """
        credit_s = self.credit_s + self.rate * max(0.0, now_s - self.updated_s)
        limit_s = self.rate * MAX_CREDIT_S + mean_s if waiting else max(0.0, self.credit_s)
        self.credit_s = min(credit_s, limit_s)
        self.updated_s = now_s

    def charge(self, cost_s: float, mean_s: float) -> None:
        """Charges slot time; a negative cost corrects an estimate that was too high.

        Debt is limited to MAX_DEBT_S of the share and two calls.  Without a limit, a rank that used
        idle slots for a long time would lose its share for as long afterwards.
        """
        floor_s = -(self.rate * MAX_DEBT_S + 2 * mean_s)
        self.credit_s = max(floor_s, self.credit_s - cost_s)

    def is_below_share(self, mean_s: float) -> bool:
        """Returns whether the credit covers one call and SHORTFALL_GRACE_S of the share."""
        return self.rate > 0 and self.credit_s >= mean_s + self.rate * SHORTFALL_GRACE_S
