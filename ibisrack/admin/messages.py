"""Responses of the admin port, one class for each endpoint, and their decoding.

Unknown fields are ignored, so that tools keep working while a newer build of the nodes is rolled
out; missing fields and wrong types are errors.
"""

from typing import TypeVar

import attrs
import msgspec

from ibisrack.errors import MessageError

T = TypeVar("T")

ALIVE, SUSPECT, DEAD = 0, 1, 2  # Numbers of membership.records.Liveness in JSON.


@attrs.frozen
class Load:
    """Load of the upstream beside a node."""

    busy: int
    queued: int
    slots: int


@attrs.frozen
class Status:
    """Response to GET /status.

    Attributes:
      node_id: Id of the node.
      zone: Availability zone.
      state: Lifecycle state of the node.
      revision: Revision in force, 0 for none.
      digest: Digest of the version in force, hexadecimal.
      refused_revision: Highest refused revision, 0 for none.
      refused_faults: Faults of the refused version, each with line and requester.
      load: Load of the upstream.
      members: Number of known nodes that are not dead.
    """

    node_id: str
    zone: str
    state: str
    revision: int
    digest: str
    refused_revision: int
    refused_faults: tuple[str, ...]
    load: Load
    members: int = 0


@attrs.frozen
class Member:
    """One record of the response to GET /members, reduced to the fields that the tools need."""

    node_id: str
    service: str
    zone: str
    region: str
    host: str
    admin_port: int
    leaving: bool = False
    liveness: int = ALIVE

    @property
    def admin_address(self) -> str:
        """Address of the admin port, IP:PORT."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.admin_port}"


@attrs.frozen
class RulesText:
    """Response to GET /rules: the rules file in force.

    Attributes:
      revision: Revision in force, 0 for none.
      digest: Digest of the version in force, hexadecimal.
      content: The whole rules file as text.
    """

    revision: int
    digest: str
    content: str


def decode(body: bytes, cls: type[T]) -> T:
    """Decodes a response of the admin port.

    Args:
      body: JSON text of the response.
      cls: Class of the response.

    Raises:
      MessageError: The response is malformed, or a field is missing or has a wrong type.
    """
    try:
        return msgspec.json.decode(body, type=cls)
    except Exception as error:  # No list of exceptions covers all bytes, such as deep nesting.
        name = getattr(cls, "__name__", str(cls))
        raise MessageError(f"not a valid {name} answer: {type(error).__name__} {error}") from error
