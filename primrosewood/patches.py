"""Differences between two versions of a large value.

The routes of all teams are one value.  Most changes touch a few of them, and
on a thin line the whole value takes longer than a change may take to come into
force everywhere.
"""

import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import accumulate

from .errors import WireError

__all__ = ('Patch', 'apply_patch', 'make_patch', 'pack', 'unpack')

# Documents are cut behind each object, so that objects that did not change
# match wherever they stand.
_CUT = b'}'
# Names and keys of a document repeat: the fastest level makes a tenth of it.
_LEVEL = 1
# What a packed value may unpack to: the largest value that a service keeps.
_MOST_BYTES = 4_194_304

Copy = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Patch:
    """What turns one value into another.

    Attributes
    ----------
    fresh
        Bytes that the older value lacks, in the order of their use.
    copies
        Rows of: number of fresh bytes that come first, then start and length
        of what follows from the older value.
    """

    fresh: bytes
    copies: tuple[Copy, ...]


def make_patch(old: bytes, new: bytes) -> Patch:
    """Return what turns ``old`` into ``new``."""
    known = _locate(old)
    writer = _PatchWriter()
    for piece in _split(new):
        position = known.get(piece)
        if position is None:
            writer.insert(piece)
        else:
            writer.copy(position, len(piece))
    return writer.finish()


def apply_patch(old: bytes, fresh: bytes, copies: Sequence[Copy]) -> bytes:
    """Return the newer value.

    Raises
    ------
    WireError
        The patch is not one of this older value.
    """
    parts = []
    taken = 0
    for inserted, start, length in copies:
        if start + length > len(old):
            raise WireError('a patch copies beyond its base')
        parts.append(fresh[taken : taken + inserted])
        parts.append(old[start : start + length])
        taken += inserted
    if taken != len(fresh):
        raise WireError('a patch does not use all of its bytes')
    return b''.join(parts)


def pack(plain: bytes) -> bytes:
    """Return bytes compressed."""
    return zlib.compress(plain, _LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return what was packed.

    Raises
    ------
    WireError
        It was not packed here, or is larger than any value.
    """
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(packed, _MOST_BYTES)
    except zlib.error as error:
        raise WireError(str(error)) from error
    if not reader.eof:
        raise WireError('a packed value is cut or too large')
    return plain


class _PatchWriter:
    """Joins neighbouring copies, and insertions, to one row each."""

    def __init__(self) -> None:
        self._fresh = bytearray()
        self._rows: list[Copy] = []
        self._inserted = 0
        self._start = 0
        self._length = 0

    def insert(self, piece: bytes) -> None:
        if self._length:
            self._end_row()
        self._fresh += piece
        self._inserted += len(piece)

    def copy(self, start: int, length: int) -> None:
        if start != self._start + self._length:
            if self._length:
                self._end_row()
            self._start = start
        self._length += length

    def finish(self) -> Patch:
        self._end_row()
        return Patch(bytes(self._fresh), tuple(self._rows))

    def _end_row(self) -> None:
        self._rows.append((self._inserted, self._start, self._length))
        self._inserted = 0
        self._start = 0
        self._length = 0


def _split(document: bytes) -> Iterator[bytes]:
    *pieces, rest = document.split(_CUT)
    for piece in pieces:
        yield piece + _CUT
    yield rest


def _locate(document: bytes) -> dict[bytes, int]:
    pieces = list(_split(document))
    starts = accumulate(map(len, pieces), initial=0)
    return dict(zip(pieces, starts, strict=False))
