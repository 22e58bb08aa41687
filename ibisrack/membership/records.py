"""Member records and the order in which one replaces another."""

from enum import IntEnum

import attrs


class Liveness(IntEnum):
    """State of a member; the higher value wins within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class MemberRecord:
    """The replicated state of one node.

    Attributes:
      node_id: Unique name of the host.
      service: Service of the upstream beside the node.
      zone: Availability zone.
      region: Region of the zone.
      host: IP number.
      call_port: HTTP port for calls.
      peer_port: HTTP port for control exchanges.
      admin_port: HTTP port for operators.
      generation: Number that the platform gives to each lifetime of the host.
      leaving: Whether the host is leaving; sticky within a generation.
      incarnation: Raised by the node itself to refute a record about it.
      liveness: Whether the node is alive, suspect or dead.
    """

    node_id: str
    service: str
    zone: str
    region: str
    host: str
    call_port: int
    peer_port: int
    admin_port: int
    generation: int = 1
    leaving: bool = False
    incarnation: int = 0
    liveness: Liveness = Liveness.ALIVE

    @property
    def precedence(self) -> tuple[int, bool, int, int]:
        """Order among records of the same node; the highest one is kept.

        Leaving ranks above the incarnation, so a late record of the same generation never removes
        a leaving mark.
        """
        return (self.generation, self.leaving, self.incarnation, int(self.liveness))

    @property
    def peer_address(self) -> str:
        """Address for control exchanges, IP:PORT."""
        return f"{self.host}:{self.peer_port}"
