"""The member table of a node.

The table is a join-semilattice: the record with the highest precedence is kept, so the order in
which news arrives does not matter.
"""

import hashlib
import zlib
from collections.abc import Iterable
from functools import lru_cache

import attrs

from ibisrack.membership.messages import MembersDigest
from ibisrack.membership.records import Liveness, MemberRecord

BUCKET_COUNT = 16
MAX_FORGOTTEN = 1024  # About two days of replaced hosts.


def bucket_of(node_id: str) -> int:
    """Returns the bucket of a node id."""
    return zlib.crc32(node_id.encode()) % BUCKET_COUNT


@lru_cache(maxsize=4096)
def _record_digest(record: MemberRecord) -> int:
    """Returns a record's part in the digest of its bucket.

    Members that are dead and leaving count nothing: they are forgotten, and not all nodes forget
    them at the same time.
    """
    if record.leaving and record.liveness is Liveness.DEAD:
        return 0
    text = f"{record.node_id}|{record.precedence}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest(), "big")


@attrs.define
class MemberTable:
    """Owner of the member records, the node's own included.

    Attributes:
      own_id: Node id of this node.
    """

    own_id: str
    _records: dict[str, MemberRecord] = attrs.field(factory=dict)
    _buckets: list[int] = attrs.field(factory=lambda: [0] * BUCKET_COUNT)
    _by_service: dict[str, tuple[MemberRecord, ...]] = attrs.field(factory=dict)
    _forgotten: dict[str, MemberRecord] = attrs.field(factory=dict)

    def apply(self, record: MemberRecord) -> bool:
        """Keeps a record if it has a higher precedence than the known one.

        News that this node is dead, suspect or of an older incarnation is refuted by a record with
        a higher incarnation.

        Returns:
          Whether the table changed.
        """
        known = self.find(record.node_id)
        if known is not None and record.precedence <= known.precedence:
            return False
        if record.node_id == self.own_id and known is not None:
            record = _refutation(known, record)
        self._replace(self._records.get(record.node_id), record)
        self._forgotten.pop(record.node_id, None)
        return True

    def find(self, node_id: str) -> MemberRecord | None:
        """Returns the record of a node, also of a forgotten one."""
        return self._records.get(node_id) or self._forgotten.get(node_id)

    def forget(self, node_id: str) -> None:
        """Takes a dead and leaving member out of the table.

        Its record is kept aside for a while, so that late news does not bring the member back.
        """
        record = self._records.pop(node_id)
        self._buckets[bucket_of(node_id)] ^= _record_digest(record)
        self._by_service.pop(record.service, None)
        self._forgotten[node_id] = record
        while len(self._forgotten) > MAX_FORGOTTEN:
            self._forgotten.pop(next(iter(self._forgotten)))

    def copy_for(self, own_id: str) -> "MemberTable":
        """Returns a table with the same records for another of their nodes."""
        return MemberTable(own_id, dict(self._records), list(self._buckets))

    def count(self) -> int:
        """Returns the number of records."""
        return len(self._records)

    def own(self) -> MemberRecord:
        """Returns this node's record."""
        return self._records[self.own_id]

    def get(self, node_id: str) -> MemberRecord | None:
        """Returns the record of a node."""
        return self._records.get(node_id)

    def all(self) -> Iterable[MemberRecord]:
        """Returns every record."""
        return self._records.values()

    def live(self) -> list[MemberRecord]:
        """Returns the records of nodes that are not believed dead."""
        return [r for r in self._records.values() if r.liveness is not Liveness.DEAD]

    def instances(self, service: str) -> tuple[MemberRecord, ...]:
        """Returns every listed instance of a service, dead or alive, ordered by node id."""
        found = self._by_service.get(service)
        if found is None:
            records = (r for r in self._records.values() if r.service == service)
            found = tuple(sorted(records, key=lambda r: r.node_id))
            self._by_service[service] = found
        return found

    def digest(self) -> MembersDigest:
        """Returns the digest that peers compare."""
        return MembersDigest(tuple(self._buckets))

    def differing(self, digest: MembersDigest) -> tuple[MemberRecord, ...]:
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


def _refutation(own: MemberRecord, news: MemberRecord) -> MemberRecord:
    """Returns the own record raised above news about this node."""
    return attrs.evolve(
        own,
        generation=max(own.generation, news.generation),
        leaving=own.leaving or (news.leaving and news.generation >= own.generation),
        incarnation=max(own.incarnation, news.incarnation) + 1,
        liveness=Liveness.ALIVE,
    )
