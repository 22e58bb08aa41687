"""Decides which peers are not relied on because their changes of the registry can't be applied.

The same changes would arrive again over the same or the next connection.  A node that can't use
them follows other peers, or reads the registry itself.
"""

import math

import attrs

from ibisrack.registry.messages import Revision

REFUSAL_S = 10.0  # Time for which a peer is not relied on after unusable changes.
# Time in which the whole content arrives after it was requested; a peer whose content does not fit
# by then is refused.
MAX_UNFIT_S = 2.0


@attrs.frozen
class UnfitDelta:
    """Changes that did not fit, after which the whole content was requested.

    Attributes:
      revision: Revision of the changes.
      received_at_s: Monotonic time of their arrival.
    """

    revision: Revision
    received_at_s: float


@attrs.define
class PeerDeltas:
    """Peers whose changes of the registry could not be applied."""

    _refused_until_s: dict[str, float] = attrs.field(factory=dict)
    _unfit: dict[str, UnfitDelta] = attrs.field(factory=dict)

    def is_refused(self, host: str, now_s: float) -> bool:
        """Returns whether a peer is not relied on for changes of the registry."""
        return now_s < self._refused_until_s.get(host, -math.inf)

    def record_refused(self, host: str, now_s: float) -> None:
        """Records changes that can't be used."""
        self._unfit.pop(host, None)
        self._refused_until_s[host] = now_s + REFUSAL_S

    def record_unfit(self, host: str, revision: Revision, now_s: float) -> bool:
        """Records changes that don't fit; returns whether to request the peer's whole content."""
        is_first = host not in self._unfit and not self.is_refused(host, now_s)
        if is_first:
            self._unfit[host] = UnfitDelta(revision, now_s)
        return is_first

    def refuse_unfit(self, own_revision: Revision, now_s: float) -> list[str]:
        """Refuses the peers whose whole content did not help in time; returns their hosts.

        Args:
          own_revision: Revision that this node has reached.
          now_s: Monotonic time.
        """
        self._unfit = {
            h: unfit for h, unfit in self._unfit.items() if unfit.revision > own_revision
        }
        late = [h for h, unfit in self._unfit.items() if now_s - unfit.received_at_s >= MAX_UNFIT_S]
        for host in late:
            self.record_refused(host, now_s)
        return late
