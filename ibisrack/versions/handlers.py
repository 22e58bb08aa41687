"""What a node does with the messages of the versions slice.

The side with the lower version asks one peer for the manifest, then for the chunks that it lacks.
"""

from typing import Any

from ibisrack.clocks import Instant
from ibisrack.errors import MessageError
from ibisrack.exchange.dispatch import handle
from ibisrack.exchange.messages import Hello
from ibisrack.node.state import NodeState
from ibisrack.timeline.events import VersionConflict, VersionRefused, VersionStaged
from ibisrack.versions.chunks import Chunked, VersionId, pack, unpack
from ibisrack.versions.messages import (
    OfferChunks,
    OfferManifest,
    VersionState,
    WantChunks,
    WantManifest,
)
from ibisrack.versions.store import Candidate, Interest, Refusal


def record_conflict(node: NodeState, version_id: VersionId, now: Instant) -> None:
    """Records that a revision was seen with another content than the one held."""
    for held in (node.versions.staged, node.versions.in_force, node.versions.refused):
        if not held or held.version_id == version_id:
            continue
        if held.version_id.revision == version_id.revision:
            digests = (held.version_id.digest.hex(), version_id.digest.hex())
            node.record(VersionConflict(version_id.revision, *digests), now)


def stage_version(node: NodeState, version: Chunked, now: Instant) -> Candidate | Refusal | None:
    """Stages a version and records the result.

    Raises:
      MessageError: The content does not match the manifest.
    """
    version_id = version.manifest.version_id
    record_conflict(node, version_id, now)
    result = node.versions.stage(version.manifest, version.chunks, now.monotonic_s)
    digest = version_id.digest.hex()
    if isinstance(result, Refusal):
        faults = tuple(str(fault) for fault in result.faults)
        node.record(VersionRefused(version_id.revision, digest, faults), now)
    elif result is not None:
        node.record(VersionStaged(version_id.revision, digest), now)
    return result


@handle.register
def _(message: VersionState, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    node.versions.confirm(peer.sender.node_id, message)
    node.links.told[peer.sender.node_id] = message.highest
    theirs = message.highest
    if theirs is None:
        return ()
    if node.versions.interest(theirs) is Interest.CONFLICT:
        record_conflict(node, theirs, now)
    if not node.versions.reserve(theirs, peer.sender.node_id, now.monotonic_s):
        return ()
    return (WantManifest(theirs),)


@handle.register
def _(message: WantManifest, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    mine = node.versions.highest()
    if mine is None or mine.version_id.revision < message.version_id.revision:
        return ()
    return (OfferManifest(mine.manifest),)


@handle.register
def _(message: OfferManifest, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    missing = node.versions.offer(message.manifest, peer.sender.node_id, now.monotonic_s)
    if missing is None:
        return ()
    return (WantChunks(message.manifest.version_id, missing),)


@handle.register
def _(message: WantChunks, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    mine = node.versions.highest()
    if mine and not node.versions.holds(message.version_id):
        # The version was replaced after it was offered, and its chunks may be gone.
        return (OfferManifest(mine.manifest),)
    chunks = node.versions.chunks(message.digests)
    return (OfferChunks(message.version_id, pack(chunks)),)


@handle.register
def _(message: OfferChunks, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    manifest = node.versions.offered(message.version_id)
    if manifest is None:
        return ()
    try:
        stage_version(node, Chunked(manifest, unpack(message.packed)), now)
    except MessageError:
        node.versions.source_failed(peer.sender.node_id)
        raise
    node.versions.end_transfer(message.version_id)
    # The source holds what it delivered; its own state came before the version was staged here.
    node.versions.confirm(peer.sender.node_id, VersionState(staged=message.version_id))
    return (node.versions.state(),)
