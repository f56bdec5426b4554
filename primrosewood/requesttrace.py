"""What the lines of several processes say about one request.

Clocks of VMs drift and are stepped, so the lines of different processes are
never compared by their times.  The entry's own lines are in order; lines of the
process beside an engine are put before the entry's line that followed from
them.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .loglines import OUTCOMES, PROCESS_STOPPED, LogLine

__all__ = ('Story', 'tell_story')

_OF_MOVES = frozenset(('moved', 'not_moved', 'move_failed'))
_OF_ENGINES = frozenset(('engine_found', 'engine_leaves', 'engine_lost'))
# What an entry believes of a back end, or of all of them.
_OF_BACK_ENDS = frozenset(
    (
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
_OF_LOSSES = frozenset(('endpoint_out', 'endpoint_missing'))
_OF_ALL = frozenset(
    (
        'changes_heard',
        'draining',
        'failure_domain_back',
        'failure_domain_out',
        'store_lost',
        'store_regained',
        'table_in_force',
    )
)


@dataclass(frozen=True, slots=True)
class Story:
    """What became of a request.

    Attributes
    ----------
    lines
        By cause: each line after the ones it followed from.
    beliefs
        Lines without the request's id that decided what it met.
    verdict
        One sentence.
    """

    lines: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    verdict: str


def tell_story(lines: Sequence[LogLine], request: str) -> Story:
    """Return what the lines say about a request.

    Parameters
    ----------
    lines
        Of all processes; lines of one process in the order in which it wrote
        them, processes mixed in any way.
    request
        The caller's name for its request.
    """
    own = [line for line in lines if line.read('request') == request]
    ordered = tuple(_order(own))
    beliefs = tuple(_find_beliefs(lines, ordered))
    return Story(ordered, beliefs, _judge(lines, ordered, beliefs))


def _order(own: Sequence[LogLine]) -> list[LogLine]:
    moves = [line for line in own if line.event in _OF_MOVES]
    ordered: list[LogLine] = []
    for line in own:
        if line.event in _OF_MOVES:
            continue
        if line.event == 'resumed':
            ordered += _take_until_moved(moves, line.read('endpoint'))
        elif line.event in OUTCOMES:
            ordered += moves
            moves.clear()
        ordered.append(line)
    return ordered + moves


def _take_until_moved(moves: list[LogLine], target: str) -> list[LogLine]:
    """Take the lines of the process that moved a generation to a target."""
    for moved in moves:
        if moved.event == 'moved' and moved.read('target') == target:
            taken = [
                line
                for line in moves
                if line.process == moved.process and line.place <= moved.place
            ]
            for line in taken:
                moves.remove(line)
            return taken
    return []


def _find_beliefs(
    lines: Sequence[LogLine], ordered: Sequence[LogLine]
) -> list[LogLine]:
    """Return what decided, in the order of the collected lines."""
    found: dict[int, LogLine] = {}
    for line in ordered:
        for belief in _held_at(lines, line):
            found[belief.place] = belief
    for belief in _of_engines(lines, ordered):
        found[belief.place] = belief
    return [found[place] for place in sorted(found)]


def _held_at(lines: Sequence[LogLine], at: LogLine) -> list[LogLine]:
    """Return the last line of each kind that a process wrote before one."""
    held: dict[str, LogLine] = {}
    for line in lines:
        if line.place < at.place and line.process == at.process:
            if line.event in _OF_ALL:
                held[line.event] = line
            elif _concerns(line, at):
                held['back end'] = line
    return list(held.values())


def _concerns(line: LogLine, at: LogLine) -> bool:
    # A refusal names no back end: the last one that went is what matters.
    if at.event == 'refused':
        return line.event in _OF_LOSSES
    endpoint = at.read('endpoint')
    named = {line.read('endpoint'), line.read('address')}
    return bool(endpoint) and line.event in _OF_BACK_ENDS and endpoint in named


def _of_engines(
    lines: Sequence[LogLine], ordered: Sequence[LogLine]
) -> list[LogLine]:
    """Return what the processes beside the request's engines saw of them."""
    names = {line.read('endpoint') for line in ordered} - {''}
    addresses = names | {
        line.read('address')
        for line in lines
        if line.read('endpoint') in names and line.read('address')
    }
    keepers = {
        line.process
        for line in lines
        if line.event == 'engine_found' and line.read('address') in addresses
    }
    keepers |= {line.process for line in ordered if line.event in _OF_MOVES}
    return [
        line
        for line in lines
        if line.process in keepers and line.event in _OF_ENGINES
    ]


def _judge(
    lines: Sequence[LogLine],
    ordered: Sequence[LogLine],
    beliefs: Sequence[LogLine],
) -> str:
    if not ordered:
        return 'no line has this id'
    ends = [line for line in ordered if line.event in OUTCOMES]
    if not ends:
        return _judge_without_end(lines, ordered[-1])
    # A failed call is refused after it, unless part of its answer was out.
    failed = [line for line in ends if line.event == 'call_failed']
    last = failed[-1] if failed else ends[-1]
    if last.event == 'answered':
        status = last.read('status')
        return f'answered with status {status}'
    if last.event == 'caller_left':
        return 'the caller closed its connection before it was answered'
    kind = last.read('kind')
    if kind == 'generation_lost':
        return f'broken off: {_why_lost(ordered, last, beliefs)}'
    return f'refused as {kind}: {_why_refused(ordered, ends, beliefs)}'


def _judge_without_end(lines: Sequence[LogLine], last: LogLine) -> str:
    restarted = any(
        line.process == last.process
        and line.place > last.place
        and line.event == 'started'
        for line in lines
    )
    if restarted:
        return f'{last.process} ended with it in progress and started again'
    return f'{last.process} has not logged its end'


def _why_lost(
    ordered: Sequence[LogLine], last: LogLine, beliefs: Sequence[LogLine]
) -> str:
    if last.read('why') == PROCESS_STOPPED:
        return f'{last.process} ended its planned stop before the answer'
    stays = [line for line in ordered if line.event == 'not_moved']
    lost = stays or [line for line in beliefs if line.event == 'engine_lost']
    if not lost:
        why = last.read('why')
        return f'the connection to its engine ended ({why})'
    if not _had_notice(beliefs, lost[-1]):
        return 'its engine ended without notice'
    failed = [line for line in ordered if line.event == 'move_failed']
    tried = f', copies that failed: {len(failed)}' if failed else ''
    return f'its engine left before it was moved{tried}'


def _why_leaving(ordered: Sequence[LogLine], last: LogLine) -> str:
    judged = [line for line in ordered if line.event == 'judged_while_stopping']
    if not judged:
        return f'{last.process} was being stopped'
    why = judged[-1].read('why')
    left = judged[-1].read('left')
    return f'{last.process} was being stopped ({why}, {left} s left)'


def _had_notice(beliefs: Sequence[LogLine], at: LogLine) -> bool:
    """Tell whether an engine had said before a line that it leaves."""
    said = [
        line.event
        for line in beliefs
        if line.process == at.process
        and line.place < at.place
        and line.event != 'engine_lost'
    ]
    return said[-1:] == ['engine_leaves']


def _why_refused(
    ordered: Sequence[LogLine],
    ends: Sequence[LogLine],
    beliefs: Sequence[LogLine],
) -> str:
    if ends[-1].read('kind') == 'leaving':
        return _why_leaving(ordered, ends[-1])
    if ends[0].read('why') == PROCESS_STOPPED:
        return f'{ends[0].process} ended its planned stop, it may have run'
    failed = [line for line in ordered if line.event == 'send_failed']
    if failed:
        ran = 'may have run' if _is_doubtful(failed) else 'did not run'
        endpoint = failed[-1].read('endpoint')
        return f'{endpoint} gave no answer, it {ran}'
    ended = ends[-1]
    went = [
        line
        for line in beliefs
        if line.process == ended.process and line.event in _OF_LOSSES
    ]
    out = _standing(beliefs, ended.process, 'failure_domain_out', 'back')
    if ended.read('kind') == 'no_endpoint' and out is not None:
        domain = out.read('failure_domain')
        return f'failure domain {domain} was out'
    if ended.read('kind') == 'no_endpoint' and went:
        endpoint = went[-1].read('endpoint')
        return f'the last back end, {endpoint}, was gone'
    version = ended.read('version') or 'none'
    return f'by the routes of version {version}'


def _standing(
    beliefs: Sequence[LogLine], process: str, event: str, ended: str
) -> LogLine | None:
    """Return a belief of a process that nothing has ended since."""
    standing = None
    for line in beliefs:
        if line.process != process:
            continue
        if line.event == event:
            standing = line
        elif line.event.endswith(ended):
            standing = None
    return standing


def _is_doubtful(failed: Sequence[LogLine]) -> bool:
    return any(line.read('doubtful') == 'True' for line in failed)
