"""This node's view of the registry's content, read from the registry or received from a peer."""

import attrs

from ibisrack.registry.messages import Changes, Entry, Listing


@attrs.define
class RegistryView:
    """The entries of the registry at a revision.

    Attributes:
      revision: Revision of the content, 0 before the first listing.
      confirmed_at_s: Monotonic time at which the registry last answered.
      entries: Entries by key.
    """

    revision: int = 0
    confirmed_at_s: float = 0.0
    entries: dict[str, Entry] = attrs.field(factory=dict)

    @property
    def content_bytes(self) -> int:
        """Size of all contents."""
        return sum(len(entry.content) for entry in self.entries.values())

    def apply(self, changes: Changes) -> tuple[Entry, ...]:
        """Applies changes; returns the entries that changed in this view."""
        changed = tuple(entry for entry in changes.entries if self._apply_entry(entry))
        self.revision = max(self.revision, changes.revision)
        return changed

    def replace(self, listing: Listing) -> tuple[Entry, ...]:
        """Applies a full listing; returns the changed entries, including removals.

        A listing older than the view changes nothing: it may come from a peer or replica that lags.
        """
        if listing.revision < self.revision:
            return ()
        changed = [entry for entry in listing.entries if self._apply_entry(entry)]
        listed = {entry.key for entry in listing.entries}
        for key in [key for key in self.entries if key not in listed]:
            # A page of the listing may be older than a change that has already been applied.
            if self.entries[key].revision <= listing.revision:
                changed.append(Entry(key, None, listing.revision))
                del self.entries[key]
        self.revision = listing.revision
        return tuple(changed)

    def newer_than(self, revision: int) -> Listing | None:
        """Returns the content if it is newer than a revision, otherwise None."""
        if self.revision <= revision:
            return None
        return Listing(self.revision, tuple(self.entries.values()))

    def _apply_entry(self, entry: Entry) -> bool:
        known = self.entries.get(entry.key)
        if known is not None and entry.revision <= known.revision:
            return False
        if entry.content is None:
            self.entries.pop(entry.key, None)
            return known is not None
        self.entries[entry.key] = entry
        return True
