"""Remembers the latest version of the configuration that peers report to have in force."""

import math

import attrs

# Longer than the transfer of a large configuration over the slowest links; a peer that is gone or
# silent does not count for longer.
MAX_REPORT_AGE_S = 10.0
NO_VERSION = 0


@attrs.define
class ReportedVersions:
    """Latest version that was reported a short time ago."""

    _version: int = NO_VERSION
    _heard_at_s: float = -math.inf

    def record(self, version: int, heard_at_s: float) -> None:
        """Records the version of a peer.

        Args:
          version: Version that the peer has in force.
          heard_at_s: Monotonic time at which the peer was last heard.
        """
        if version < self.latest(heard_at_s):
            return
        if version == self._version:
            heard_at_s = max(heard_at_s, self._heard_at_s)
        self._version, self._heard_at_s = version, heard_at_s

    def latest(self, now_s: float) -> int:
        """Returns the latest version whose report still counts, NO_VERSION if there is none."""
        return self._version if now_s - self._heard_at_s < MAX_REPORT_AGE_S else NO_VERSION
