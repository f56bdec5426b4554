"""Decodes the documents that entries write to the store for each other."""

import msgspec

from ..crashes import BlamedCall, Crash
from ..crashguard import StoredCrashes
from ..entrycount import StoredEntryCount
from ..errors import WireError
from .numbers import BoundedCount, BoundedInteger

__all__ = (
    'CRASHES_KEY',
    'ENTRY_COUNT_KEY',
    'parse_crashes',
    'parse_entry_count',
    'serialise_crashes',
    'serialise_entry_count',
)

CRASHES_KEY = 'limits/crashes'
ENTRY_COUNT_KEY = 'limits/entries'


class _EntryCount(msgspec.Struct):
    entries: BoundedCount
    names: list[str] = []


class _Crash(msgspec.Struct):
    endpoint: str
    boot: BoundedInteger
    service: str
    # Crashes of one moment have the same number.
    moment: BoundedInteger
    organisations: list[str] = []
    parts: list[str] = []
    cleared: list[str] = []
    reporters: list[str] = []
    # Marks, organisation, milliseconds, events.
    calls: list[tuple[list[str], str, BoundedInteger, BoundedInteger]] = []


class _Crashes(msgspec.Struct):
    crashes: list[_Crash]
    # Calls that were let through as a trial, by service.
    trials: dict[str, BoundedCount] = {}


_CRASHES_DECODER = msgspec.json.Decoder(_Crashes)
_ENTRY_COUNT_DECODER = msgspec.json.Decoder(_EntryCount)


def parse_entry_count(stored: bytes, revision: int) -> StoredEntryCount:
    """Decode the number of entries by which limits are divided.

    Raises
    ------
    WireError
        The value is not a number of entries.
    """
    try:
        count = _ENTRY_COUNT_DECODER.decode(stored)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    return StoredEntryCount(count.entries, tuple(count.names), revision)


def serialise_entry_count(count: StoredEntryCount) -> bytes:
    """Return the number of entries as it is stored."""
    return msgspec.json.encode(_EntryCount(count.reported, list(count.names)))


def parse_crashes(stored: bytes, revision: int) -> StoredCrashes:
    """Decode the crashes of engines that entries know of.

    Raises
    ------
    WireError
        The value is not a list of crashes.
    """
    try:
        document = _CRASHES_DECODER.decode(stored)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    return StoredCrashes(
        tuple((_to_crash(row), row.moment) for row in document.crashes),
        document.trials,
        revision,
    )


def serialise_crashes(crashes: StoredCrashes) -> bytes:
    """Return the crashes as they are stored."""
    rows = [_to_row(crash, moment) for crash, moment in crashes.crashes]
    return msgspec.json.encode(_Crashes(rows, dict(crashes.trials)))


def _to_crash(row: _Crash) -> Crash:
    return Crash(
        endpoint=row.endpoint,
        boot=row.boot,
        service=row.service,
        organisations=frozenset(row.organisations),
        parts=frozenset(row.parts),
        cleared=frozenset(row.cleared),
        reporters=frozenset(row.reporters),
        calls=frozenset(
            BlamedCall(tuple(marks), *facts) for marks, *facts in row.calls
        ),
    )


def _to_row(crash: Crash, moment: int) -> _Crash:
    return _Crash(
        endpoint=crash.endpoint,
        boot=crash.boot,
        service=crash.service,
        moment=moment,
        organisations=sorted(crash.organisations),
        parts=sorted(crash.parts),
        cleared=sorted(crash.cleared),
        reporters=sorted(crash.reporters),
        calls=[
            (
                list(call.marks),
                call.organisation,
                call.milliseconds,
                call.events,
            )
            for call in sorted(crash.calls)
        ],
    )
