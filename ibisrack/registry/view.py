"""This node's view of the registry's content, read from the registry or received from a peer."""

import attrs

from ibisrack.registry.messages import NO_REVISION, Changes, Entry, Listing, Revision

# Contents from this size on are kept for a few revisions more, as bases of deltas for peers.
BASE_MIN_BYTES = 4096
BASES_PER_ENTRY = 3


@attrs.define
class RegistryView:
    """The entries of the registry at a revision.

    Attributes:
      revision: Revision of the content, NO_REVISION before the first listing.
      confirmed_at_s: Monotonic time at which the registry last answered.
      entries: Entries by key.
    """

    revision: Revision = NO_REVISION
    confirmed_at_s: float = 0.0
    entries: dict[str, Entry] = attrs.field(factory=dict)
    _earlier: dict[str, list[Entry]] = attrs.field(factory=dict)  # The latest first.

    @property
    def content_bytes(self) -> int:
        """Size of all contents."""
        return sum(len(entry.content) for entry in self.entries.values())

    def apply(self, changes: Changes) -> tuple[Entry, ...]:
        """Applies changes; returns the entries that changed in this view.

        The revision of the view becomes that of the last change, not the one that the registry
        states: a registry that dropped its history during the call has no changes to send, and a
        node that continued after the later revision would never learn of them.
        """
        changed = tuple(
            entry
            for entry in changes.entries
            # The view is complete up to its revision: what it lacks had been removed.
            if (entry.key in self.entries or entry.revision > self.revision)
            and self._apply_entry(entry)
        )
        self.revision = max((self.revision, *(entry.revision for entry in changes.entries)))
        return changed

    def replace(self, listing: Listing) -> tuple[Entry, ...]:
        """Applies a full listing; returns the changed entries, including removals.

        All entries of a restored registry count as changed, since their revisions are new.

        A listing older than the view changes nothing: it may come from a peer or replica that lags.
        """
        if listing.revision < self.revision:
            return ()
        # Changes from a peer give a listing that has the known entries themselves; comparing their
        # revisions would take most of the time.
        known = self.entries
        changed = [
            entry
            for entry in listing.entries
            if known.get(entry.key) is not entry and self._apply_entry(entry)
        ]
        listed = {entry.key for entry in listing.entries}
        for key in [key for key in self.entries if key not in listed]:
            # A page of the listing may be older than a change that has already been applied.
            if self.entries[key].revision <= listing.revision:
                changed.append(Entry(key, None, listing.revision))
                self._remove(key)
        self.revision = listing.revision
        return tuple(changed)

    def content_at(self, key: str, revision: Revision) -> Entry | None:
        """Returns the entry as it was at a revision, None if that is not known."""
        current = self.entries.get(key)
        candidates = [current] if current is not None else []
        candidates += self._earlier.get(key, ())
        return next((entry for entry in candidates if entry.revision <= revision), None)

    def _apply_entry(self, entry: Entry) -> bool:
        known = self.entries.get(entry.key)
        if known is not None and entry.revision <= known.revision:
            return False
        if entry.content is None:
            self._remove(entry.key)
            return known is not None
        if known is not None and len(known.content) >= BASE_MIN_BYTES:
            earlier = self._earlier.get(entry.key, [])
            self._earlier[entry.key] = [known, *earlier][:BASES_PER_ENTRY]
        self.entries[entry.key] = entry
        return True

    def _remove(self, key: str) -> None:
        self.entries.pop(key, None)
        self._earlier.pop(key, None)
