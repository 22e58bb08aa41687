"""Remembers which listed starts of the instance have ended, because another process answers.

An entry outlives its instance for some seconds, and longer in a store that was restored.  A process
that is not the addressed instance answers 421.  Each request that is sent to it all the same counts
as an attempt, and finds no instance that could run it.
"""

import attrs

from ibisrack.instances.model import Instance, InstanceStart

# An entry is removed or replaced within this time after the end of its instance.
ENDED_S = 6.0


@attrs.define
class EndedStarts:
    """Starts of instances that have ended although they are listed at this node's address."""

    _until_s: dict[InstanceStart, float] = attrs.field(factory=dict)

    def record(self, instance: Instance, now_s: float) -> bool:
        """Records that another process answers in place of an instance; returns whether it is new.

        Args:
          instance: The instance as it was listed when the request was sent.
          now_s: Current time.
        """
        is_new = not self.includes(instance, now_s)
        self._until_s = {start: at_s for start, at_s in self._until_s.items() if now_s < at_s}
        self._until_s[instance.start] = now_s + ENDED_S
        return is_new

    def includes(self, instance: Instance, now_s: float) -> bool:
        """Returns whether the listed start of an instance has ended."""
        return now_s < self._until_s.get(instance.start, 0.0)
