"""Ends of back ends as entries tell each other of them and log them."""

from collections.abc import Iterable

from . import gen_wire as wire
from .crashcauses import Cause
from .crashes import BlamedCall, Crash

__all__ = ('describe_cause', 'describe_crash', 'read_report', 'make_report')

_MAX_LOGGED_NAMES = 16
_MS_PER_SECOND = 1000


def make_report(crash: Crash, age: float) -> wire.CrashReport:
    """Return the message on an end that was some seconds ago."""
    return wire.CrashReport(
        endpoint=crash.endpoint,
        boot=crash.boot,
        service=crash.service,
        organisations=sorted(crash.organisations),
        parts=sorted(crash.parts),
        cleared=sorted(crash.cleared),
        reporters=sorted(crash.reporters),
        calls=[
            wire.BlamedCall(
                list(call.marks),
                call.organisation,
                call.milliseconds,
                call.events,
            )
            for call in sorted(crash.calls)
        ],
        certain=crash.certain,
        age_ms=max(0, int(age * _MS_PER_SECOND)),
    )


def read_report(report: wire.CrashReport) -> tuple[Crash, float]:
    """Return the end that a message tells of, and its age in seconds."""
    crash = Crash(
        endpoint=report.endpoint,
        boot=report.boot,
        service=report.service,
        organisations=frozenset(report.organisations),
        parts=frozenset(report.parts),
        cleared=frozenset(report.cleared),
        reporters=frozenset(report.reporters),
        calls=frozenset(
            BlamedCall(
                tuple(call.marks),
                call.organisation,
                call.milliseconds,
                call.events,
            )
            for call in report.calls
        ),
        certain=report.certain,
    )
    return crash, report.age_ms / _MS_PER_SECOND


def describe_cause(cause: Cause) -> dict[str, str | bool]:
    """Return the fields with which a cause is logged."""
    return {
        'service': cause.service,
        'parts': _join(cause.parts),
        'organisations': _join(cause.organisations),
        'certain': cause.certain,
        'crashes': _join(
            f'{crash.endpoint}@{crash.boot}' for crash in cause.crashes
        ),
        'reporters': _join(
            {name for crash in cause.crashes for name in crash.reporters}
        ),
    }


def describe_crash(crash: Crash) -> dict[str, str | int]:
    """Return the fields with which an end is logged."""
    return {
        'endpoint': crash.endpoint,
        'boot': crash.boot,
        'service': crash.service,
        'calls': len(crash.blamed),
        'parts': _join(crash.suspects),
        'cleared': _join(crash.cleared),
        'reporters': _join(crash.reporters),
    }


def _join(names: Iterable[str]) -> str:
    return '+'.join(sorted(names)[:_MAX_LOGGED_NAMES]) or '-'
