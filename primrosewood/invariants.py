"""Checker of the system's invariants, from records of callers and back ends.

Tests, the demo and the load tool record a history of events and apply the same
checks to it.  Each check returns one message for every breach.
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
    'check_idempotency_keys',
    'check_not_run',
    'check_out_of_service',
    'check_settings',
    'check_tokens',
)


@dataclass(frozen=True, slots=True)
class AnswerRecord:
    """What one caller received.

    Attributes
    ----------
    request
        Unique name of the request.
    tokens
        Tokens in the order received, each as ``generation.index``.
    complete
        Whether the whole answer was received.
    kind, ran
        Error kind, and whether the request ran according to the error.
    key
        Idempotency key, empty if there was none.
    """

    request: str
    tokens: tuple[str, ...] = ()
    complete: bool = False
    kind: str = ''
    ran: str = ''
    key: str = ''


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One run of a request at a back end.

    Attributes
    ----------
    request
        Name of the request.
    endpoint, failure_domain
        Where it ran.
    at
        When it began, in seconds of the wall clock.
    key
        Idempotency key, empty if there was none.
    """

    request: str
    endpoint: str
    failure_domain: str
    at: float
    key: str = ''


@dataclass(frozen=True, slots=True)
class OutOfServicePeriod:
    """A period in which an endpoint or failure domain was out of service.

    Attributes
    ----------
    name
        Name of the endpoint or failure domain.
    since, until
        When the change that takes it out was accepted, and when the change that
        brings it back was requested, in seconds of the wall clock.
    grace_seconds
        Time after ``since`` in which new work may still start.
    """

    name: str
    since: float
    until: float
    grace_seconds: float


@dataclass(frozen=True, slots=True)
class SettingRecord:
    """A revision of a team's settings that a process was seen to use."""

    process: str
    team: str
    revision: int


@dataclass(slots=True)
class History:
    """Everything that was recorded.

    Attributes
    ----------
    settings
        Revisions in the order in which they were seen.
    """

    answers: list[AnswerRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    out_of_service: list[OutOfServicePeriod] = field(default_factory=list)
    settings: list[SettingRecord] = field(default_factory=list)


def check_history(history: History) -> list[str]:
    """Return the breaches that all checks find."""
    return [
        *check_tokens(history.answers),
        *check_idempotency_keys(history.runs),
        *check_not_run(history.answers, history.runs),
        *check_out_of_service(history.runs, history.out_of_service),
        *check_settings(history.settings),
    ]


def check_tokens(answers: Iterable[AnswerRecord]) -> list[str]:
    """Check that each answer has every token once and in order.

    All tokens must come from one generation, and an answer must end either
    complete or with an error.
    """
    breaches = []
    for answer in answers:
        generations = {token.partition('.')[0] for token in answer.tokens}
        if len(generations) > 1:
            breaches.append(f'{answer.request}: {len(generations)} generations')
        indices = [token.partition('.')[2] for token in answer.tokens]
        expected = [str(index) for index in range(len(indices))]
        if indices != expected:
            breaches.append(f'{answer.request}: tokens lost, doubled or mixed')
        if not answer.complete and not answer.kind:
            breaches.append(f'{answer.request}: neither an answer nor an error')
    return breaches


def check_idempotency_keys(runs: Iterable[RunRecord]) -> list[str]:
    """Check that at most one request runs for each idempotency key."""
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
    """Check that no request ran whose error says that it did not."""
    started = {run.request for run in runs}
    return [
        f'{answer.request}: answered {answer.kind} (not run), but it ran'
        for answer in answers
        if answer.ran == 'no' and answer.request in started
    ]


def check_out_of_service(
    runs: Iterable[RunRecord], out_of_service: Iterable[OutOfServicePeriod]
) -> list[str]:
    """Check that no work starts at an endpoint or domain that is out.

    Work that starts within the grace period is allowed.
    """
    breaches = []
    periods = list(out_of_service)
    for run in runs:
        for out in periods:
            delay = run.at - out.since
            if _started_while_out(run, out):
                breaches.append(
                    f'{run.request}: new work at {out.name}, {delay:.2f} s out'
                )
    return breaches


def check_settings(settings: Iterable[SettingRecord]) -> list[str]:
    """Check that no process goes back to an older revision of settings."""
    breaches = []
    newest: dict[tuple[str, str], int] = {}
    for seen in settings:
        process_and_team = (seen.process, seen.team)
        if seen.revision < newest.get(process_and_team, 0):
            breaches.append(
                f'{seen.process}: settings of {seen.team} went back'
            )
        newest[process_and_team] = max(
            newest.get(process_and_team, 0), seen.revision
        )
    return breaches


def _started_while_out(run: RunRecord, period: OutOfServicePeriod) -> bool:
    if period.name not in {run.endpoint, run.failure_domain}:
        return False
    return period.since + period.grace_seconds < run.at < period.until
