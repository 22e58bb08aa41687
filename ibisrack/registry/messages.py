"""Content of the registry as nodes exchange it, and the interface through which a node reads it."""

from typing import Protocol

import attrs


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
    revision: int


@attrs.frozen
class Listing:
    """The full content of the registry.

    Attributes:
      revision: Revision after which changes must be read.
      entries: All entries.
    """

    revision: int
    entries: tuple[Entry, ...]


@attrs.frozen
class Changes:
    """Changes after a revision.

    Attributes:
      revision: Revision up to which the changes are complete.
      entries: Changed and removed entries in order.
    """

    revision: int
    entries: tuple[Entry, ...]


@attrs.frozen
class PackedEntry:
    """A compressed entry.

    Attributes:
      key: Key of the entry.
      revision: Revision of its last change.
      base_revision: Revision of the same entry whose content is the dictionary of the compression,
        0 if the content was compressed without one.
      packed: Compressed content.
    """

    key: str
    revision: int
    base_revision: int
    packed: bytes


@attrs.frozen
class Delta:
    """What turns the content of the registry at one revision into that at a later one.

    Attributes:
      revision: The later revision.
      keys: Keys of all entries at that revision.
      changed: Entries that changed after the earlier revision.
    """

    revision: int
    keys: tuple[str, ...]
    changed: tuple[PackedEntry, ...]


class Registry(Protocol):
    """Client of the registry."""

    async def list_all(self) -> Listing:
        """Returns the full content.

        Raises:
          PlatformError: The registry gave no usable answer.
        """

    async def changes(self, after: int, wait_s: float, max_bytes: int) -> Changes:
        """Waits for changes after a revision.

        Args:
          after: The revision.
          wait_s: Maximum time to wait for the first change.
          max_bytes: Maximum size of the answer.

        Raises:
          BacklogError: The answer is larger; it was not read.
          HistoryGoneError: The registry no longer has the changes since that revision.
          PlatformError: The registry gave no usable answer.
        """
