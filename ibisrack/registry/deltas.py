"""Packs the changes between two revisions of the registry for peers, and unpacks them.

A configuration of a thousand routes has hundreds of kilobytes, and successive versions differ in a
few routes.  The earlier content of an entry therefore serves as the dictionary of the compression.
"""

import zstandard

from ibisrack.errors import MessageError
from ibisrack.registry.messages import (
    MAX_CONTENT_BYTES,
    NO_REVISION,
    Delta,
    Entry,
    Listing,
    PackedEntry,
    Revision,
)
from ibisrack.registry.view import RegistryView

# Lower levels don't search a dictionary of this size and make deltas a hundred times as large.
COMPRESSION_LEVEL = 3
# Base-2 logarithm of the window in bytes; covers two contents of the largest size.  The size of the
# content limits the window that is allocated.
WINDOW_LOG = (2 * MAX_CONTENT_BYTES - 1).bit_length()


class MissingBaseError(MessageError):
    """A delta refers to content that the receiver does not have."""


def pack_changes(view: RegistryView, since: Revision) -> Delta:
    """Returns what a holder of the content at revision ``since`` needs for that of the view."""
    changed = tuple(
        _pack(view, entry, since) for entry in view.entries.values() if entry.revision > since
    )
    return Delta(view.revision, tuple(view.entries), changed)


def unpack_changes(view: RegistryView, delta: Delta) -> Listing:
    """Returns the full content after a delta.

    Raises:
      MissingBaseError: The view lacks an entry or the base of one.
      MessageError: The compressed content is malformed.
    """
    unpacked = {packed.key: _unpack(view, packed) for packed in delta.changed}
    entries = []
    for key in delta.keys:
        entry = unpacked.get(key) or view.entries.get(key)
        if entry is None:
            raise MissingBaseError(f"the entry {key} is not known")
        entries.append(entry)
    return Listing(delta.revision, tuple(entries))


def _pack(view: RegistryView, entry: Entry, since: Revision) -> PackedEntry:
    base = view.content_at(entry.key, since)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, window_log=WINDOW_LOG, source_size=len(entry.content)
    )
    if base is None:
        compressor = zstandard.ZstdCompressor(compression_params=parameters)
        packed = compressor.compress(entry.content)
        return PackedEntry(entry.key, entry.revision, NO_REVISION, packed)
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    packed = compressor.compress(entry.content)
    return PackedEntry(entry.key, entry.revision, base.revision, packed)


def _unpack(view: RegistryView, packed: PackedEntry) -> Entry:
    known = view.entries.get(packed.key)
    if known is not None and known.revision >= packed.revision:
        return known
    dictionary = None
    if packed.base_revision != NO_REVISION:
        base = view.content_at(packed.key, packed.base_revision)
        if base is None or base.revision != packed.base_revision:
            raise MissingBaseError(f"revision {packed.base_revision} of {packed.key} is not known")
        dictionary = _dictionary(base)
    decompressor = zstandard.ZstdDecompressor(dict_data=dictionary, max_window_size=1 << WINDOW_LOG)
    try:
        size = zstandard.frame_content_size(packed.packed)
        if not 0 <= size <= MAX_CONTENT_BYTES:
            raise MessageError(f"the content of {packed.key} has no valid size ({size} bytes)")
        content = decompressor.decompress(packed.packed)
    except zstandard.ZstdError as error:
        raise MessageError(f"the content of {packed.key} is malformed: {error}") from error
    return Entry(packed.key, content, packed.revision)


def _dictionary(base: Entry) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(base.content, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
