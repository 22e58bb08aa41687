"""Guaranteed shares of slot time: one account of credit for each rank.

A rank below its share earns credit while it waits and is then served before more urgent ranks.
The account holds slot seconds; what a call costs is known at its end, so an estimate is charged at
its start and corrected at its end.
"""

import attrs

# Shorter shortfalls do not override strict order.  Near saturation, urgent calls above their share
# then wait 1.35 times as long in a bulk flood, with 0.1 s 1.50 times (docs/calls.md).
GRACE_S = 0.4
CREDIT_S = 1.0  # Credit beyond this time of the share lapses; it exceeds the grace.
DEBT_S = 0.3  # Debt beyond this time of the share is forgiven, so a flood's end costs little.


@attrs.define
class ShareAccount:
    """Credit of one rank.

    Attributes:
      rate: Guaranteed slot seconds for each second.
      credit_s: Slot seconds that the rank is owed; negative after use above the share.
      updated_s: Time of the last change.
    """

    rate: float = 0.0
    credit_s: float = 0.0
    updated_s: float = 0.0

    def advance(self, waiting: bool, mean_s: float, now_s: float) -> None:
        """Earns credit for the time since the last change.

        Debt is worked off at any time; credit above zero is earned only while the rank waits, so
        an idle rank saves nothing up for a burst.

        Args:
          waiting: Whether the rank had calls waiting, and room for them under its own limit.
          mean_s: Estimated cost of one call.
          now_s: Present time.
        """
        credit_s = self.credit_s + self.rate * max(0.0, now_s - self.updated_s)
        limit_s = self.rate * CREDIT_S + mean_s if waiting else max(0.0, self.credit_s)
        self.credit_s = min(credit_s, limit_s)
        self.updated_s = now_s

    def charge(self, cost_s: float, mean_s: float) -> None:
        """Charges slot time; a negative cost corrects an estimate that was too high.

        Debt is limited to two calls beyond DEBT_S: without a limit, a rank that filled idle
        slots for long would lose its share for as long afterwards.
        """
        floor_s = -(self.rate * DEBT_S + 2 * mean_s)
        self.credit_s = max(floor_s, self.credit_s - cost_s)

    def is_owed(self, mean_s: float) -> bool:
        """Returns whether the rank is short of its share by more than one call."""
        return self.rate > 0 and self.credit_s >= mean_s + self.rate * GRACE_S
