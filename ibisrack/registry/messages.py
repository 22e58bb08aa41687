"""What the registry answers, and the interface through which a node reads it."""

from typing import Protocol

import attrs


@attrs.frozen
class Entry:
    """An entry of the registry.

    Attributes:
      key: Name of the entry.
      content: Its value; None when the entry was removed.
      revision: Revision of the change.
    """

    key: str
    content: bytes | None
    revision: int


@attrs.frozen
class Listing:
    """The whole content of the registry.

    Attributes:
      revision: Revision from which changes have to be followed.
      entries: All entries.
    """

    revision: int
    entries: tuple[Entry, ...]


@attrs.frozen
class Changes:
    """Changes after a revision.

    Attributes:
      revision: Revision up to which they are complete.
      entries: Changed and removed entries in their order.
    """

    revision: int
    entries: tuple[Entry, ...]


class Registry(Protocol):
    """Reads the registry."""

    async def list_all(self) -> Listing:
        """Returns the whole content.

        Raises:
          PlatformError: There is no usable answer.
        """

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Waits for changes after a revision.

        Raises:
          HistoryGoneError: The changes are not known any more.
          PlatformError: There is no usable answer.
        """
