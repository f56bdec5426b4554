"""Answers of etcd's v3 JSON gateway, as far as they are read.

The gateway leaves out fields with empty values, but never a header: an answer
without one is no answer, rather than one that nothing was found.
"""

import msgspec

__all__ = (
    'Answer',
    'GrantAnswer',
    'PairFields',
    'RangeAnswer',
    'RenewalAnswer',
    'SwapAnswer',
    'WatchEvent',
    'WatchLine',
)


class _Header(msgspec.Struct):
    revision: int


class PairFields(msgspec.Struct):
    """A pair; key and value are in base64."""

    key: str
    mod_revision: int
    value: str = ''


class Answer(msgspec.Struct):
    """Answer of which only the revision is read."""

    header: _Header

    @property
    def revision(self) -> int:
        """Revision of the service."""
        return self.header.revision


class RangeAnswer(Answer):
    """Pairs of a range."""

    kvs: list[PairFields] = []


class _FoundPairs(msgspec.Struct):
    kvs: list[PairFields] = []


class _FoundRange(msgspec.Struct):
    response_range: _FoundPairs


class SwapAnswer(Answer):
    """Outcome of a transaction that reads the pair unless it wrote it."""

    succeeded: bool = False
    responses: list[msgspec.Raw] = []

    def find_current(self) -> PairFields | None:
        """Return the pair that was read, None if there is none.

        Raises
        ------
        msgspec.DecodeError
            The answer does not say what was read.
        """
        if not self.responses:
            raise msgspec.ValidationError('nothing was read')
        found = msgspec.json.decode(
            self.responses[0], type=_FoundRange, strict=False
        )
        return next(iter(found.response_range.kvs), None)


class GrantAnswer(msgspec.Struct):
    """A new lease."""

    lease: int = msgspec.field(name='ID')


class _Renewal(msgspec.Struct):
    lease: int = msgspec.field(name='ID')
    seconds: int = msgspec.field(name='TTL', default=0)


class RenewalAnswer(msgspec.Struct):
    """Outcome of a renewal; a lease without any seconds has expired."""

    result: _Renewal


class WatchEvent(msgspec.Struct):
    """A write or deletion."""

    kv: PairFields
    type: str = 'PUT'


class _WatchResult(msgspec.Struct):
    events: list[WatchEvent] = []
    canceled: bool = False
    compact_revision: int = 0


class WatchLine(msgspec.Struct):
    """One line of a watch."""

    result: _WatchResult
