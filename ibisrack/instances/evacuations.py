"""The zones that an operator has evacuated: nothing may be sent to their instances.

A zone stays evacuated for as long as its key is known to be listed, also while the registry does
not answer.  A registry that is restored from an earlier copy may lack a key that was in force,
although nobody removed it.  The zone then stays evacuated for as long as lapsed instances are kept;
``InstanceDirectory`` knows when that ends.
"""

import attrs


@attrs.define
class Evacuations:
    """The evacuated zones.

    Attributes:
      zones: Names of the zones, those with a lapsed key included.
    """

    zones: frozenset[str] = frozenset()
    _lapsed: frozenset[str] = frozenset()  # Zones whose key a restored registry lacks.

    def begin(self, zone: str) -> bool:
        """Handles a listed key; returns whether the zone was in use before."""
        self._lapsed -= {zone}
        is_new = zone not in self.zones
        self.zones |= {zone}
        return is_new

    def end(self, zone: str) -> bool:
        """Handles the removal of a key; returns whether the zone was evacuated."""
        was_evacuated = zone in self.zones
        self.zones -= {zone}
        self._lapsed -= {zone}
        return was_evacuated

    def lapse(self, zone: str) -> None:
        """Handles a key that a restored registry lacks: it may be written again soon."""
        self._lapsed |= self.zones & {zone}

    def end_lapsed(self) -> frozenset[str]:
        """Ends the evacuations whose key has lapsed; returns their zones."""
        ended, self._lapsed = self._lapsed, frozenset()
        self.zones -= ended
        return ended
