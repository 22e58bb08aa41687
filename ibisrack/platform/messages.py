"""Values read from the platform."""

import attrs


@attrs.frozen
class PlatformValue:
    """A value of the configuration service.

    Attributes:
      name: Name of the value.
      revision: The service's revision.
      content: The bytes.
    """

    name: str
    revision: int
    content: bytes


@attrs.frozen
class ListedHost:
    """A host in the platform's list of hosts.

    Attributes:
      node_id: Name of the host.
      generation: Lifetime of the host.
      leaving: Whether the host is leaving.
    """

    node_id: str
    generation: int = 1
    leaving: bool = False


@attrs.frozen
class HostList:
    """The platform's lagging list of hosts.

    Attributes:
      hosts: The hosts.
      revision: The service's revision of the list.
    """

    hosts: tuple[ListedHost, ...]
    revision: int = 0
