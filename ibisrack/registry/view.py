"""The registry's content as this node knows it, from the registry itself or from a peer."""

import attrs

from ibisrack.registry.messages import Changes, Entry, Listing


@attrs.define
class RegistryView:
    """Entries by key.

    Attributes:
      revision: Revision of the content, 0 before the first.
      confirmed_at_s: Monotonic time at which the registry last answered.
      entries: The entries.
    """

    revision: int = 0
    confirmed_at_s: float = 0.0
    entries: dict[str, Entry] = attrs.field(factory=dict)

    def apply(self, changes: Changes) -> tuple[Entry, ...]:
        """Takes changes; returns those that are new here."""
        fresh = tuple(entry for entry in changes.entries if self._take(entry))
        self.revision = max(self.revision, changes.revision)
        return fresh

    def replace(self, listing: Listing) -> tuple[Entry, ...]:
        """Takes a whole content; returns what it changes, removals included.

        An older content than the present one changes nothing: it may come from a peer or a replica
        that is behind.
        """
        if listing.revision < self.revision:
            return ()
        fresh = [entry for entry in listing.entries if self._take(entry)]
        listed = {entry.key for entry in listing.entries}
        for key in [key for key in self.entries if key not in listed]:
            # A page of the listing may be older than a change that was seen in the meantime.
            if self.entries[key].revision <= listing.revision:
                fresh.append(Entry(key, None, listing.revision))
                del self.entries[key]
        self.revision = listing.revision
        return tuple(fresh)

    def newer_than(self, revision: int) -> Listing | None:
        """Returns the content if it is newer than a revision."""
        if self.revision <= revision:
            return None
        return Listing(self.revision, tuple(self.entries.values()))

    def _take(self, entry: Entry) -> bool:
        known = self.entries.get(entry.key)
        if known is not None and entry.revision <= known.revision:
            return False
        if entry.content is None:
            self.entries.pop(entry.key, None)
            return known is not None
        self.entries[entry.key] = entry
        return True
