"""Binary patches between two versions of a large value, and compression.

The routes of all teams are stored as one value. Most changes affect a few
routes, and on a slow network link sending the complete value takes longer than
a change may take to be in force everywhere.
"""

import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import accumulate

from .errors import WireError

__all__ = (
    'Patch',
    'apply_patch',
    'compress_value',
    'decompress_value',
    'make_patch',
)

# JSON documents are split after each object, so that unchanged objects match
# wherever they are.
_SEPARATOR = b'}'
# Names and keys repeat, so the fastest level already compresses to a tenth.
_COMPRESSION_LEVEL = 1
# Limit of a decompressed value: the largest that the key-value service stores.
_MAX_VALUE_BYTES = 4_194_304

# Length of the insertion that comes first, then offset and length of the copy.
PatchRow = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Patch:
    """A sequence of insertions and copies that makes a newer value.

    Attributes
    ----------
    inserted
        Bytes that the older value lacks, in the order of their use.
    copies
        Rows of: number of inserted bytes that come first, then start and
        length of the bytes that are copied from the older value.
    """

    inserted: bytes
    copies: tuple[PatchRow, ...]


def make_patch(old: bytes, new: bytes) -> Patch:
    """Return a patch from ``old`` to ``new``."""
    offsets = _index_pieces(old)
    writer = _PatchWriter()
    for piece in _split(new):
        offset = offsets.get(piece)
        if offset is None:
            writer.insert(piece)
        else:
            writer.copy(offset, len(piece))
    return writer.finish()


def apply_patch(
    old: bytes, inserted: bytes, copies: Sequence[PatchRow]
) -> bytes:
    """Return the newer value that a patch makes of an older one.

    Raises
    ------
    WireError
        The patch does not fit the older value.
    """
    parts = []
    consumed = 0
    for insert_length, start, length in copies:
        if start + length > len(old):
            raise WireError('patch copies beyond the end of its base value')
        parts.append(inserted[consumed : consumed + insert_length])
        parts.append(old[start : start + length])
        consumed += insert_length
    if consumed != len(inserted):
        raise WireError('patch does not use all of its inserted bytes')
    return b''.join(parts)


def compress_value(plain: bytes) -> bytes:
    """Return a value compressed with zlib."""
    return zlib.compress(plain, _COMPRESSION_LEVEL)


def decompress_value(compressed: bytes) -> bytes:
    """Return a value that `compress_value` has compressed.

    Raises
    ------
    WireError
        The data is not valid zlib data, or the value is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(compressed, _MAX_VALUE_BYTES)
    except zlib.error as error:
        raise WireError(str(error)) from error
    if not decompressor.eof:
        raise WireError('compressed value is truncated or too large')
    return plain


class _PatchWriter:
    """Builds a patch; merges adjacent copies and adjacent insertions."""

    def __init__(self) -> None:
        self._inserted_bytes = bytearray()
        self._rows: list[PatchRow] = []
        self._insert_length = 0
        self._copy_start = 0
        self._copy_length = 0

    def insert(self, piece: bytes) -> None:
        if self._copy_length:
            self._finish_row()
        self._inserted_bytes += piece
        self._insert_length += len(piece)

    def copy(self, start: int, length: int) -> None:
        if start != self._copy_start + self._copy_length:
            if self._copy_length:
                self._finish_row()
            self._copy_start = start
        self._copy_length += length

    def finish(self) -> Patch:
        self._finish_row()
        return Patch(bytes(self._inserted_bytes), tuple(self._rows))

    def _finish_row(self) -> None:
        self._rows.append(
            (self._insert_length, self._copy_start, self._copy_length)
        )
        self._insert_length = 0
        self._copy_start = 0
        self._copy_length = 0


def _split(document: bytes) -> Iterator[bytes]:
    *pieces, rest = document.split(_SEPARATOR)
    for piece in pieces:
        yield piece + _SEPARATOR
    yield rest


def _index_pieces(document: bytes) -> dict[bytes, int]:
    pieces = list(_split(document))
    starts = accumulate(map(len, pieces), initial=0)
    return dict(zip(pieces, starts, strict=False))
