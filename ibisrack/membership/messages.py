"""Messages of the membership slice."""

import attrs

from ibisrack.membership.records import MemberRecord


@attrs.frozen
class MembersDigest:
    """Digests of the sender's member table, one for each bucket of node ids."""

    buckets: tuple[int, ...]


@attrs.frozen
class MembersUpdate:
    """Member records that the receiver probably lacks."""

    records: tuple[MemberRecord, ...]
