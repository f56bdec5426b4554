"""What must always hold, checked on what callers and back ends recorded.

Tests, the demo and the load tool give the same history of events to the
same rules; each rule returns a line for every breach it finds.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = (
    'AnswerRecord',
    'History',
    'OutOfServicePeriod',
    'RunRecord',
    'SettingRecord',
    'check_history',
    'check_left_out',
    'check_not_run',
    'check_once',
    'check_settings',
    'check_tokens',
)


@dataclass(frozen=True, slots=True)
class AnswerRecord:
    """What one caller received.

    Attributes
    ----------
    request
        What the caller asked for; unique.
    tokens
        Tokens in the order received, each ``generation.index``.
    complete
        Whether the answer ended as whole.
    kind, ran
        Error kind, and whether the system says that the request ran.
    key
        Idempotency key, empty when there was none.
    """

    request: str
    tokens: tuple[str, ...] = ()
    complete: bool = False
    kind: str = ''
    ran: str = ''
    key: str = ''


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One run at a back end, with when it began (wall clock, seconds)."""

    request: str
    endpoint: str
    failure_domain: str
    at: float
    key: str = ''


@dataclass(frozen=True, slots=True)
class OutOfServicePeriod:
    """A time in which an endpoint or failure domain was out.

    Attributes
    ----------
    name
        The endpoint or failure domain.
    since, until
        When the change was accepted, and when the return was asked for.
    grace
        Seconds after ``since`` in which new work is still allowed.
    """

    name: str
    since: float
    until: float
    grace: float


@dataclass(frozen=True, slots=True)
class SettingRecord:
    """A revision that a process had in force, in the order seen."""

    process: str
    team: str
    revision: int


@dataclass(slots=True)
class History:
    """Everything that was recorded."""

    answers: list[AnswerRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    outs: list[OutOfServicePeriod] = field(default_factory=list)
    settings: list[SettingRecord] = field(default_factory=list)


def check_history(history: History) -> list[str]:
    """Return the breaches of all rules."""
    return [
        *check_tokens(history.answers),
        *check_once(history.runs),
        *check_not_run(history.answers, history.runs),
        *check_left_out(history.runs, history.outs),
        *check_settings(history.settings),
    ]


def check_tokens(answers: Iterable[AnswerRecord]) -> list[str]:
    """Check that every token came once, in order, from one generation."""
    breaches = []
    for answer in answers:
        generations = {token.partition('.')[0] for token in answer.tokens}
        if len(generations) > 1:
            breaches.append(f'{answer.request}: {len(generations)} generations')
        indices = [token.partition('.')[2] for token in answer.tokens]
        wanted = [str(index) for index in range(len(indices))]
        if indices != wanted:
            breaches.append(f'{answer.request}: tokens lost, doubled or mixed')
        if not answer.complete and not answer.kind:
            breaches.append(f'{answer.request}: neither an answer nor an error')
    return breaches


def check_once(runs: Iterable[RunRecord]) -> list[str]:
    """Check that a request under an idempotency key runs at most once."""
    counts: dict[str, int] = defaultdict(int)
    for run in runs:
        if run.key:
            counts[run.key] += 1
    return [
        f'key {key} ran {count} times'
        for key, count in counts.items()
        if count > 1
    ]


def check_not_run(
    answers: Iterable[AnswerRecord], runs: Iterable[RunRecord]
) -> list[str]:
    """Check that what was refused as not run did not run."""
    started = {run.request for run in runs}
    return [
        f'{answer.request}: answered {answer.kind} (not run), but it ran'
        for answer in answers
        if answer.ran == 'no' and answer.request in started
    ]


def check_left_out(
    runs: Iterable[RunRecord], outs: Iterable[OutOfServicePeriod]
) -> list[str]:
    """Check that what is out gets no new work after the grace."""
    breaches = []
    periods = list(outs)
    for run in runs:
        for out in periods:
            delay = run.at - out.since
            if _is_breach(run, out):
                breaches.append(
                    f'{run.request}: new work at {out.name}, {delay:.2f} s out'
                )
    return breaches


def check_settings(settings: Iterable[SettingRecord]) -> list[str]:
    """Check that a setting in force never goes back."""
    breaches = []
    newest: dict[tuple[str, str], int] = {}
    for seen in settings:
        place = (seen.process, seen.team)
        if seen.revision < newest.get(place, 0):
            breaches.append(f'{seen.process}: {seen.team} went back')
        newest[place] = max(newest.get(place, 0), seen.revision)
    return breaches


def _is_breach(run: RunRecord, out: OutOfServicePeriod) -> bool:
    if out.name not in {run.endpoint, run.failure_domain}:
        return False
    return out.since + out.grace < run.at < out.until
