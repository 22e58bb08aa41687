"""Values of the platform's configuration service."""

import attrs


@attrs.frozen
class PlatformValue:
    """A named value and its revision.

    Attributes:
      name: Name of the value.
      revision: Revision of the value at the service.
      content: Content in bytes.
    """

    name: str
    revision: int
    content: bytes


@attrs.frozen
class ListedHost:
    """A host in the platform's list of hosts.

    Attributes:
      node_id: Name of the host.
      generation: Counts the replacements of the host; a replacement has a higher number.
      leaving: Whether the host is being removed.
    """

    node_id: str
    generation: int = 1
    leaving: bool = False


@attrs.frozen
class HostList:
    """The platform's list of hosts, which lags behind their actual state.

    Attributes:
      hosts: The hosts.
      revision: Revision of the list at the service, 0 if none was read.
    """

    hosts: tuple[ListedHost, ...]
    revision: int = 0
