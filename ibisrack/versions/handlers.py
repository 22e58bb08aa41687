"""Handlers of the messages that transfer versions between nodes.

The node with the lower version requests the manifest from one peer, then the chunks that it lacks.
"""

from typing import Any

from ibisrack.clocks import Instant
from ibisrack.errors import MessageError
from ibisrack.exchange.dispatch import handle
from ibisrack.exchange.messages import Hello
from ibisrack.node.state import NodeState
from ibisrack.timeline.events import VersionConflict, VersionRefused, VersionStaged
from ibisrack.versions.chunks import ChunkedVersion, VersionId, pack, unpack
from ibisrack.versions.messages import (
    OfferChunks,
    OfferManifest,
    VersionState,
    WantChunks,
    WantManifest,
)
from ibisrack.versions.store import Classification, Refusal, ValidatedVersion


def record_conflict(node: NodeState, version_id: VersionId, now: Instant) -> None:
    """Records an event if a revision is known to this node with other content."""
    for held in (node.versions.staged, node.versions.in_force, node.versions.refused):
        if not held or held.version_id == version_id:
            continue
        if held.version_id.revision == version_id.revision:
            digests = (held.version_id.digest.hex(), version_id.digest.hex())
            node.record(VersionConflict(version_id.revision, *digests), now)


def stage_version(
    node: NodeState, version: ChunkedVersion, now: Instant
) -> ValidatedVersion | Refusal | None:
    """Stages a version and records its staging, refusal or conflict as events.

    Returns:
      The staged version, the refusal, or None when the version is no longer wanted.

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
    node.versions.confirmation.update(peer.sender.node_id, message)
    node.links.reported_versions[peer.sender.node_id] = message.highest
    peer_version = message.highest
    if peer_version is None:
        return ()
    if node.versions.classify(peer_version) is Classification.CONFLICT:
        record_conflict(node, peer_version, now)
    if not node.versions.reserve_transfer(peer_version, peer.sender.node_id, now.monotonic_s):
        return ()
    return (WantManifest(peer_version),)


@handle.register
def _(message: WantManifest, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    own = node.versions.highest()
    if own is None or own.version_id.revision < message.version_id.revision:
        return ()
    return (OfferManifest(own.manifest),)


@handle.register
def _(message: OfferManifest, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    missing = node.versions.accept_offer(message.manifest, peer.sender.node_id, now.monotonic_s)
    if missing is None:
        return ()
    return (WantChunks(message.manifest.version_id, missing),)


@handle.register
def _(message: WantChunks, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    own = node.versions.highest()
    if own and not node.versions.holds(message.version_id):
        # A newer version replaced the offered one, whose chunks may have been dropped.
        return (OfferManifest(own.manifest),)
    chunks = node.versions.chunks(message.digests)
    return (OfferChunks(message.version_id, pack(chunks)),)


@handle.register
def _(message: OfferChunks, node: NodeState, peer: Hello, now: Instant) -> tuple[Any, ...]:
    manifest = node.versions.offered_manifest(message.version_id)
    if manifest is None:
        return ()
    try:
        stage_version(node, ChunkedVersion(manifest, unpack(message.packed)), now)
    except MessageError:
        node.versions.transfer.source_failed(peer.sender.node_id)
        raise
    node.versions.transfer.end(message.version_id)
    # The source holds the version, but its VersionState came before the version was staged here,
    # so it did not count as a confirmation.
    node.versions.confirmation.update(peer.sender.node_id, VersionState(staged=message.version_id))
    return (node.versions.state(),)
