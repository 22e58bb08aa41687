"""Cuts the content of a version into chunks that are named by their digest.

Chunks end at lines whose digest meets a condition, so an inserted or removed line changes only the
chunk around it, and a node pulls only the chunks that it has not seen.
"""

import hashlib
import zlib
from collections.abc import Iterable, Mapping

import attrs

from ibisrack.errors import MessageError
from ibisrack.rules.ruleset import MAX_CONTENT_BYTES

DIGEST_BYTES = 16
MEAN_CHUNK_LINES = 16
MAX_CHUNK_LINES = 64


def digest_of(content: bytes) -> bytes:
    """Returns the BLAKE2b digest of 16 bytes that names a content."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


@attrs.frozen(order=True)
class VersionId:
    """Identity of a version.

    Attributes:
      revision: The platform's revision; a higher one replaces a lower one.
      digest: Digest of the whole content.
    """

    revision: int
    digest: bytes

    def __str__(self) -> str:
        """Formats the revision with the start of the digest."""
        return f"{self.revision}/{self.digest.hex()[:8]}"


@attrs.frozen
class Manifest:
    """A version as the list of its chunks, in order."""

    version_id: VersionId
    chunk_digests: tuple[bytes, ...]


@attrs.frozen
class Chunked:
    """A manifest with the content of its chunks by digest."""

    manifest: Manifest
    chunks: Mapping[bytes, bytes]


def split(content: bytes) -> list[bytes]:
    """Cuts a content into chunks of whole lines; their concatenation is the content."""
    chunks: list[bytes] = []
    current: list[bytes] = []
    for line in content.splitlines(keepends=True):
        current.append(line)
        boundary = zlib.crc32(line) % MEAN_CHUNK_LINES == 0
        if boundary or len(current) == MAX_CHUNK_LINES:
            chunks.append(b"".join(current))
            current = []
    if current:
        chunks.append(b"".join(current))
    return chunks


def chunked(revision: int, content: bytes) -> Chunked:
    """Returns the chunks and the manifest of a version read from the platform."""
    pieces = [(digest_of(chunk), chunk) for chunk in split(content)]
    version_id = VersionId(revision, digest_of(content))
    return Chunked(Manifest(version_id, tuple(digest for digest, _ in pieces)), dict(pieces))


def assemble(manifest: Manifest, chunks: Mapping[bytes, bytes]) -> bytes:
    """Puts a version together and verifies it.

    Raises:
      MessageError: A chunk is missing, the content is too large or has another digest.
    """
    missing = sum(1 for digest in manifest.chunk_digests if digest not in chunks)
    if missing:
        raise MessageError(f"{missing} chunks of version {manifest.version_id} are missing")
    content = b"".join(chunks[digest] for digest in manifest.chunk_digests)
    if len(content) > MAX_CONTENT_BYTES:
        raise MessageError(f"version {manifest.version_id} has {len(content)} bytes")
    if digest_of(content) != manifest.version_id.digest:
        raise MessageError(f"the content of version {manifest.version_id} has another digest")
    return content


def pack(chunks: Iterable[bytes]) -> bytes:
    """Compresses chunks for a message; each is preceded by its length in 4 bytes."""
    return zlib.compress(b"".join(len(c).to_bytes(4, "big") + c for c in chunks), 9)


def unpack(data: bytes) -> dict[bytes, bytes]:
    """Decompresses chunks and names them by digest.

    Raises:
      MessageError: The data are malformed, truncated or too large.
    """
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(data, 2 * MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise MessageError(f"chunks are not zlib data: {error}") from error
    if not inflater.eof:
        raise MessageError("chunks are truncated or too large")
    chunks: dict[bytes, bytes] = {}
    position = 0
    while position < len(raw):
        end = position + 4 + int.from_bytes(raw[position : position + 4], "big")
        if end > len(raw):
            raise MessageError("a chunk is truncated")
        chunk = raw[position + 4 : end]
        chunks[digest_of(chunk)] = chunk
        position = end
    return chunks
