"""Splits the content of a version into chunks that are identified by their digest.

Chunk boundaries depend on the checksums of the lines, so an inserted or removed line changes only
the chunk around it, and a node requests only the chunks that it lacks.
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
    """Returns the 16-byte BLAKE2b digest that identifies the content."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


@attrs.frozen(order=True)
class VersionId:
    """Identifies a version.

    Attributes:
      revision: Revision assigned by the platform; a higher one replaces a lower one.
      digest: Digest of the whole content.
    """

    revision: int
    digest: bytes

    def __str__(self) -> str:
        """Returns the revision and the first 8 hexadecimal digits of the digest."""
        return f"{self.revision}/{self.digest.hex()[:8]}"


@attrs.frozen
class Manifest:
    """The digests of the chunks of a version, in order."""

    version_id: VersionId
    chunk_digests: tuple[bytes, ...]


@attrs.frozen
class ChunkedVersion:
    """A manifest and chunks by digest; received versions may omit chunks that the node holds."""

    manifest: Manifest
    chunks: Mapping[bytes, bytes]


def split(content: bytes) -> list[bytes]:
    """Splits content into chunks of whole lines whose concatenation is the content."""
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


def chunk_version(revision: int, content: bytes) -> ChunkedVersion:
    """Returns the manifest and the chunks of a version with the given content."""
    pairs = [(digest_of(chunk), chunk) for chunk in split(content)]
    version_id = VersionId(revision, digest_of(content))
    return ChunkedVersion(Manifest(version_id, tuple(digest for digest, _ in pairs)), dict(pairs))


def assemble(manifest: Manifest, chunks: Mapping[bytes, bytes]) -> bytes:
    """Concatenates the chunks of a version and verifies its digest.

    Raises:
      MessageError: A chunk is missing, or the content is too large or has the wrong digest.
    """
    missing = sum(1 for digest in manifest.chunk_digests if digest not in chunks)
    if missing:
        raise MessageError(f"{missing} chunks of version {manifest.version_id} are missing")
    content = b"".join(chunks[digest] for digest in manifest.chunk_digests)
    if len(content) > MAX_CONTENT_BYTES:
        raise MessageError(
            f"version {manifest.version_id} has {len(content)} bytes, more than allowed"
        )
    if digest_of(content) != manifest.version_id.digest:
        raise MessageError(
            f"the content of version {manifest.version_id} does not match its digest"
        )
    return content


def pack(chunks: Iterable[bytes]) -> bytes:
    """Compresses chunks for a message; each is prefixed with its length (4 bytes, big-endian)."""
    return zlib.compress(b"".join(len(c).to_bytes(4, "big") + c for c in chunks), 9)


def unpack(data: bytes) -> dict[bytes, bytes]:
    """Decompresses chunks and returns them by digest.

    Raises:
      MessageError: The data is malformed, truncated or too large.
    """
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(data, 2 * MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise MessageError(f"chunks are not valid zlib data: {error}") from error
    if not inflater.eof:
        raise MessageError("chunks are truncated or too large")
    chunks: dict[bytes, bytes] = {}
    position = 0
    while position < len(raw):
        end = position + 4 + int.from_bytes(raw[position : position + 4], "big")
        if end > len(raw):
            raise MessageError("a chunk is shorter than its length prefix")
        chunk = raw[position + 4 : end]
        chunks[digest_of(chunk)] = chunk
        position = end
    return chunks
