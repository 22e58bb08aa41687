"""Fingerprints by which a request is recognised when it comes again under another id."""

from hashlib import blake2b
from typing import Protocol

FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 4


class Fingerprinted(Protocol):
    """A request that has a fingerprint."""

    @property
    def fingerprint(self) -> bytes:
        """Its fingerprint, computed once, because bodies are large."""


class FingerprintedParts(Protocol):
    """A request, as its caller sent it or as it is submitted to an instance."""

    caller_service: str
    method: str
    host: str
    target: str
    body: bytes


def fingerprint_of(request: FingerprintedParts) -> bytes:
    """Returns the fingerprint of a request; its id, deadline and other headers don't count."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for text in (request.caller_service, request.method, request.host, request.target):
        part = text.encode("utf-8", "surrogateescape")
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big") + part)
    digest.update(request.body)
    return digest.digest()
