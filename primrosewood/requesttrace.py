"""Trace of one request, from the log lines of several processes.

Clocks of VMs drift and are stepped, so lines of different processes are never
ordered by their timestamps.  The lines of an entry are in order already; lines
of an endpoint process are placed before the line of the entry that they caused.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from types import MappingProxyType

from .loglines import OUTCOMES, PROCESS_STOPPED, LogLine

__all__ = ('RequestTrace', 'trace_request')

_MOVE_EVENTS = frozenset(
    (
        'move_failed',
        'moved',
        'not_moved',
        'stop_answered',
        'stop_declined',
        'stop_ordered',
    )
)
_ENGINE_EVENTS = frozenset(
    ('engine_found', 'engine_identified', 'engine_leaves', 'engine_lost')
)
# State of one back end or of its limit, as an entry sees it.
_BACK_END_EVENTS = frozenset(
    (
        'announcement_refused',
        'endpoint_announced',
        'endpoint_changed',
        'endpoint_in',
        'endpoint_misplaced',
        'endpoint_missing',
        'endpoint_out',
        'endpoint_reported',
        'limit_lifted',
        'limit_named',
    )
)
_REMOVAL_EVENTS = frozenset(('endpoint_out', 'endpoint_missing'))
# State that concerns all requests of a process.
_PROCESS_EVENTS = frozenset(
    (
        'changes_heard',
        'draining',
        'failure_domain_back',
        'failure_domain_out',
        'rollout_decided',
        'rollout_fault',
        'rollout_ordered',
        'store_lost',
        'store_regained',
        'table_in_force',
    )
)


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """What happened to a request.

    Attributes
    ----------
    lines
        Lines with the request's ID, in causal order.
    state_lines
        Lines without the request's ID that show the state on which processes
        based their decisions.
    verdict
        Outcome and its cause, in one sentence.
    """

    lines: tuple[LogLine, ...]
    state_lines: tuple[LogLine, ...]
    verdict: str


def trace_request(lines: Sequence[LogLine], request: str) -> RequestTrace:
    """Return the trace of a request.

    Parameters
    ----------
    lines
        Lines of all processes. Those of one process are in the order in which
        it wrote them; processes may be interleaved in any way.
    request
        The caller's ID of its request.
    """
    request_lines = [line for line in lines if line.get('request') == request]
    ordered = tuple(_order_by_cause(request_lines))
    state_lines = tuple(_find_state_lines(lines, ordered))
    return RequestTrace(
        ordered, state_lines, _find_verdict(lines, ordered, state_lines)
    )


def _order_by_cause(request_lines: Sequence[LogLine]) -> list[LogLine]:
    moves = [line for line in request_lines if line.event in _MOVE_EVENTS]
    ordered: list[LogLine] = []
    for line in request_lines:
        if line.event in _MOVE_EVENTS:
            continue
        if line.event == 'resumed':
            ordered += _pop_move_to(moves, line.get('endpoint'))
        elif line.event in OUTCOMES:
            ordered += moves
            moves.clear()
        ordered.append(line)
    return ordered + moves


def _pop_move_to(moves: list[LogLine], target: str) -> list[LogLine]:
    """Remove and return the lines of the move to a target.

    They are the lines of the process that moved the generation, up to the move.
    """
    for move in moves:
        if move.event == 'moved' and move.get('target') == target:
            popped = [
                line
                for line in moves
                if line.process == move.process and line.index <= move.index
            ]
            for line in popped:
                moves.remove(line)
            return popped
    return []


def _find_state_lines(
    lines: Sequence[LogLine], ordered: Sequence[LogLine]
) -> list[LogLine]:
    """Return the lines that show the state behind the decisions.

    They come in the order in which the lines of all processes were read.
    """
    found: dict[int, LogLine] = {}
    for line in ordered:
        for state_line in _find_state_before(lines, line):
            found[state_line.index] = state_line
    for state_line in _find_engine_lines(lines, ordered):
        found[state_line.index] = state_line
    return [found[index] for index in sorted(found)]


def _find_state_before(
    lines: Sequence[LogLine], decision: LogLine
) -> list[LogLine]:
    """Return the state that a process had logged before a decision of its own.

    There is one line, the last, for each process-wide event and one for the
    back end that the decision concerns.
    """
    latest: dict[str, LogLine] = {}
    for line in lines:
        if line.index < decision.index and line.process == decision.process:
            if line.event in _PROCESS_EVENTS:
                latest[line.event] = line
            elif _concerns(line, decision):
                latest['back end'] = line
    return list(latest.values())


def _concerns(line: LogLine, decision: LogLine) -> bool:
    # A refusal names no back end; its cause is the last back end that was lost.
    if decision.event == 'refused':
        return line.event in _REMOVAL_EVENTS
    endpoint = decision.get('endpoint')
    names = {line.get('endpoint'), line.get('address')}
    return (
        bool(endpoint) and line.event in _BACK_END_EVENTS and endpoint in names
    )


def _find_engine_lines(
    lines: Sequence[LogLine], ordered: Sequence[LogLine]
) -> list[LogLine]:
    """Return what endpoint processes logged about the request's engines."""
    names = {line.get('endpoint') for line in ordered} - {''}
    addresses = names | {
        line.get('address')
        for line in lines
        if line.get('endpoint') in names and line.get('address')
    }
    processes = {
        line.process
        for line in lines
        if line.event == 'engine_found' and line.get('address') in addresses
    }
    processes |= {
        line.process for line in ordered if line.event in _MOVE_EVENTS
    }
    return [
        line
        for line in lines
        if line.process in processes and line.event in _ENGINE_EVENTS
    ]


def _find_verdict(
    lines: Sequence[LogLine],
    ordered: Sequence[LogLine],
    state_lines: Sequence[LogLine],
) -> str:
    if not ordered:
        return 'no line has this id'
    outcomes = [line for line in ordered if line.event in OUTCOMES]
    if not outcomes:
        return _explain_missing_outcome(lines, ordered[-1])
    # A refusal follows the line of a failed call, unless part of the answer had
    # been sent; the failed call holds the cause.
    failed = [line for line in outcomes if line.event == 'call_failed']
    outcome = failed[-1] if failed else outcomes[-1]
    if outcome.event == 'answered':
        status = outcome.get('status')
        return f'answered with status {status}'
    if outcome.event == 'caller_left':
        return 'the caller closed its connection before it was answered'
    kind = outcome.get('kind')
    if kind == 'generation_lost':
        return f'broken off: {_explain_loss(ordered, outcome, state_lines)}'
    return (
        f'refused as {kind}: {_explain_refusal(ordered, outcomes, state_lines)}'
    )


def _explain_missing_outcome(
    lines: Sequence[LogLine], last_line: LogLine
) -> str:
    restarted = any(
        line.process == last_line.process
        and line.index > last_line.index
        and line.event == 'started'
        for line in lines
    )
    if restarted:
        return (
            f'{last_line.process} ended with it in progress and started again'
        )
    return f'{last_line.process} has not logged its end'


def _explain_loss(
    ordered: Sequence[LogLine],
    outcome: LogLine,
    state_lines: Sequence[LogLine],
) -> str:
    """Return why a generation ended after part of its answer was sent."""
    if outcome.get('why') == PROCESS_STOPPED:
        return f'{outcome.process} ended its planned stop before the answer'
    not_moved = [line for line in ordered if line.event == 'not_moved']
    lost = not_moved or [
        line for line in state_lines if line.event == 'engine_lost'
    ]
    if not lost:
        why = outcome.get('why')
        return f'the connection to its engine ended ({why})'
    if not _was_leaving(state_lines, lost[-1]):
        return 'its engine ended without notice'
    failed = [line for line in ordered if line.event == 'move_failed']
    attempts = f', copies that failed: {len(failed)}' if failed else ''
    return f'its engine left before it was moved{attempts}'


def _explain_stop(ordered: Sequence[LogLine], outcome: LogLine) -> str:
    """Return why a stopping process refused a request."""
    admission_checks = [
        line for line in ordered if line.event == 'judged_while_stopping'
    ]
    if not admission_checks:
        return f'{outcome.process} was being stopped'
    why = admission_checks[-1].get('why')
    left = admission_checks[-1].get('left')
    return f'{outcome.process} was being stopped ({why}, {left} s left)'


def _was_leaving(state_lines: Sequence[LogLine], lost: LogLine) -> bool:
    """Tell whether an engine had announced its stop before it was lost."""
    events = [
        line.event
        for line in state_lines
        if line.process == lost.process
        and line.index < lost.index
        and line.event != 'engine_lost'
    ]
    return events[-1:] == ['engine_leaves']


def _explain_refusal(
    ordered: Sequence[LogLine],
    outcomes: Sequence[LogLine],
    state_lines: Sequence[LogLine],
) -> str:
    explain = _EXPLAINED_KINDS.get(outcomes[-1].get('kind'))
    if explain is not None:
        return explain(ordered, outcomes[-1])
    if outcomes[0].get('why') == PROCESS_STOPPED:
        return f'{outcomes[0].process} ended its planned stop, it may have run'
    failed = [line for line in ordered if line.event == 'send_failed']
    if failed:
        ran = 'may have run' if _may_have_run(failed) else 'did not run'
        endpoint = failed[-1].get('endpoint')
        return f'{endpoint} gave no answer, it {ran}'
    outcome = outcomes[-1]
    removals = [
        line
        for line in state_lines
        if line.process == outcome.process and line.event in _REMOVAL_EVENTS
    ]
    domain_out = _find_active(
        state_lines, outcome.process, 'failure_domain_out', 'back'
    )
    if outcome.get('kind') == 'no_endpoint' and domain_out is not None:
        domain = domain_out.get('failure_domain')
        return f'failure domain {domain} was out'
    if outcome.get('kind') == 'no_endpoint' and removals:
        endpoint = removals[-1].get('endpoint')
        return f'the last back end, {endpoint}, was gone'
    version = outcome.get('version') or 'none'
    return f'by the routes of version {version}'


def _explain_harm(ordered: Sequence[LogLine], _outcome: LogLine) -> str:
    """Return which back ends ended under a request that was refused."""
    decisions = [line for line in ordered if line.event == 'call_would_crash']
    if not decisions:
        return 'back ends would end under it'
    ends = decisions[-1].get('crashes')
    reporters = decisions[-1].get('reporters')
    return f'back ends ended under it: {ends}, as seen by {reporters}'


def _find_active(
    state_lines: Sequence[LogLine], process: str, event: str, end_suffix: str
) -> LogLine | None:
    """Return the last line of an event unless a later event has ended it.

    The ending event is recognised by the suffix of its name.
    """
    active = None
    for line in state_lines:
        if line.process != process:
            continue
        if line.event == event:
            active = line
        elif line.event.endswith(end_suffix):
            active = None
    return active


def _may_have_run(failed: Sequence[LogLine]) -> bool:
    return any(line.get('doubtful') == 'True' for line in failed)


# Kinds of refusals that lines with the request's ID explain alone.
_EXPLAINED_KINDS = MappingProxyType(
    {'crashes_endpoints': _explain_harm, 'leaving': _explain_stop}
)
