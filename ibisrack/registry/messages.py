"""Content of the registry as nodes exchange it, and the interface through which a node reads it."""

from collections.abc import Callable
from typing import Protocol

import attrs


@attrs.frozen(order=True)
class Revision:
    """Position in the history of the registry.

    A registry that is restored from a copy begins another era and gives out its numbers again, so
    only the pair tells what is newer.

    Attributes:
      era: Number of restores before it.
      number: Revision number within the era, 0 before the first change.
    """

    era: int
    number: int

    def __str__(self) -> str:
        """Formats the revision as ERA.NUMBER, for log lines."""
        return f"{self.era}.{self.number}"


NO_REVISION = Revision(0, 0)  # Before the first listing.
# Largest content of an entry that nodes use, whether the registry or a peer sends it.  A
# configuration of 5,000 routes takes 1.3 MB; hosts of 128 MB have room for a few of this size.
MAX_CONTENT_BYTES = 4 * 1024 * 1024
MAX_LOGGED_KEY_CHARS = 100  # Other programs may write keys of any length.


@attrs.frozen
class Entry:
    """An entry of the registry.

    Attributes:
      key: Key of the entry.
      content: Value of the entry, None if it was removed.
      revision: Revision of its last change.
    """

    key: str
    content: bytes | None
    revision: Revision


@attrs.frozen
class Listing:
    """The full content of the registry.

    Attributes:
      revision: Revision after which changes must be read.
      entries: All entries.
    """

    revision: Revision
    entries: tuple[Entry, ...]


@attrs.frozen
class Changes:
    """Changes after a revision.

    Attributes:
      revision: Revision up to which the changes are complete.
      entries: Changed and removed entries in order.
    """

    revision: Revision
    entries: tuple[Entry, ...]


@attrs.frozen
class PackedEntry:
    """A compressed entry.

    Attributes:
      key: Key of the entry.
      revision: Revision of its last change.
      base_revision: Revision of the same entry whose content is the dictionary of the compression,
        NO_REVISION if the content was compressed without one.
      packed: Compressed content.
    """

    key: str
    revision: Revision
    base_revision: Revision
    packed: bytes


@attrs.frozen
class Delta:
    """What turns the content of the registry at one revision into that at a later one.

    Attributes:
      revision: The later revision.
      keys: Keys of all entries at that revision.
      changed: Entries that changed after the earlier revision.
    """

    revision: Revision
    keys: tuple[str, ...]
    changed: tuple[PackedEntry, ...]


class Registry(Protocol):
    """Client of the registry."""

    async def list_all(self, on_begin: Callable[[], None]) -> Listing:
        """Returns the full content.

        Args:
          on_begin: Called when a part of it begins to arrive.

        Raises:
          PlatformError: The registry gave no usable answer.
        """

    async def changes(
        self,
        after: Revision,
        wait_s: float,
        max_bytes: int,
        response_s: float,
        on_begin: Callable[[], None],
    ) -> Changes:
        """Waits for changes after a revision.

        Args:
          after: The revision.
          wait_s: Maximum time to wait for the first change.
          max_bytes: Maximum size of the answer.
          response_s: Maximum time without a byte of the answer, in addition to ``wait_s``.
          on_begin: Called when the answer begins to arrive.

        Raises:
          BacklogError: The answer is larger; it was not read.
          HistoryGoneError: The registry no longer has the changes since that revision, or it was
            restored since then.
          PlatformError: The registry gave no usable answer.
        """
