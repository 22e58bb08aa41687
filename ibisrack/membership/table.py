"""The member table of a node.

The table is a join-semilattice: the record with the highest precedence is kept, so the order in
which records arrive does not matter.
"""

import hashlib
import zlib
from collections.abc import Iterable
from functools import lru_cache

import attrs

from ibisrack.membership.messages import MembersDigest
from ibisrack.membership.records import Liveness, MemberRecord

BUCKET_COUNT = 16
MAX_FORGOTTEN_RECORDS = 1024  # About two days of replaced hosts.


def bucket_of(node_id: str) -> int:
    """Returns the index of the digest bucket that holds a node id."""
    return zlib.crc32(node_id.encode()) % BUCKET_COUNT


@lru_cache(maxsize=4096)
def _record_digest(record: MemberRecord) -> int:
    """Returns a record's share of its bucket's digest, combined with the others by XOR.

    Members that are dead and leaving contribute 0, because not all nodes forget them at the same
    time.
    """
    if record.leaving and record.liveness is Liveness.DEAD:
        return 0
    text = f"{record.node_id}|{record.precedence}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest(), "big")


@attrs.define
class MemberTable:
    """The member records that a node holds, its own included.

    Attributes:
      own_id: Node id of this node.
    """

    own_id: str
    _records: dict[str, MemberRecord] = attrs.field(factory=dict)
    _buckets: list[int] = attrs.field(factory=lambda: [0] * BUCKET_COUNT)
    _by_service: dict[str, tuple[MemberRecord, ...]] = attrs.field(factory=dict)
    _forgotten: dict[str, MemberRecord] = attrs.field(factory=dict)

    def apply(self, record: MemberRecord) -> bool:
        """Stores a record if it has a higher precedence than the known one.

        A received record of this node itself is refuted: the table stores the own record with a
        higher incarnation instead.

        Returns:
          Whether the table changed.
        """
        known = self.get_including_forgotten(record.node_id)
        if known is not None and record.precedence <= known.precedence:
            return False
        if record.node_id == self.own_id and known is not None:
            record = _refute(known, record)
        self._replace(self._records.get(record.node_id), record)
        self._forgotten.pop(record.node_id, None)
        return True

    def get_including_forgotten(self, node_id: str) -> MemberRecord | None:
        """Returns the record of a node, also if it has been forgotten."""
        return self._records.get(node_id) or self._forgotten.get(node_id)

    def forget(self, node_id: str) -> None:
        """Removes a dead and leaving member from the table.

        Its record is kept separately for a while, so that a late record does not revive the member.
        """
        record = self._records.pop(node_id)
        self._buckets[bucket_of(node_id)] ^= _record_digest(record)
        self._by_service.pop(record.service, None)
        self._forgotten[node_id] = record
        while len(self._forgotten) > MAX_FORGOTTEN_RECORDS:
            self._forgotten.pop(next(iter(self._forgotten)))

    def copy_for(self, own_id: str) -> "MemberTable":
        """Returns a table with the same records for another of the member nodes."""
        return MemberTable(own_id, dict(self._records), list(self._buckets))

    def count(self) -> int:
        """Returns the number of records, without forgotten ones."""
        return len(self._records)

    def own(self) -> MemberRecord:
        """Returns this node's record."""
        return self._records[self.own_id]

    def get(self, node_id: str) -> MemberRecord | None:
        """Returns the record of a node, None if it is unknown or forgotten."""
        return self._records.get(node_id)

    def all(self) -> Iterable[MemberRecord]:
        """Returns every record."""
        return self._records.values()

    def live(self) -> list[MemberRecord]:
        """Returns the records of nodes that are alive or suspect."""
        return [r for r in self._records.values() if r.liveness is not Liveness.DEAD]

    def instances(self, service: str) -> tuple[MemberRecord, ...]:
        """Returns every instance of a service in the table, dead or alive, ordered by node id."""
        found = self._by_service.get(service)
        if found is None:
            records = (r for r in self._records.values() if r.service == service)
            found = tuple(sorted(records, key=lambda r: r.node_id))
            self._by_service[service] = found
        return found

    def digest(self) -> MembersDigest:
        """Returns the digest that peers compare with theirs."""
        return MembersDigest(tuple(self._buckets))

    def differing_records(self, digest: MembersDigest) -> tuple[MemberRecord, ...]:
        """Returns the records of the buckets in which a peer's digest differs."""
        pairs = enumerate(zip(self._buckets, digest.buckets, strict=False))
        buckets = {index for index, (own, other) in pairs if own != other}
        if not buckets:
            return ()
        return tuple(r for r in self._records.values() if bucket_of(r.node_id) in buckets)

    def _replace(self, known: MemberRecord | None, record: MemberRecord) -> None:
        bucket = bucket_of(record.node_id)
        if known is not None:
            self._buckets[bucket] ^= _record_digest(known)
        self._buckets[bucket] ^= _record_digest(record)
        self._records[record.node_id] = record
        self._by_service.pop(record.service, None)


def _refute(own: MemberRecord, received: MemberRecord) -> MemberRecord:
    """Returns the own record, raised above a received record of this node."""
    return attrs.evolve(
        own,
        generation=max(own.generation, received.generation),
        leaving=own.leaving or (received.leaving and received.generation >= own.generation),
        incarnation=max(own.incarnation, received.incarnation) + 1,
        liveness=Liveness.ALIVE,
    )
