"""Which requests were lost or late, and for what reason, from logs alone."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from .loglines import OUTCOMES, LogLine
from .requesttrace import tell_story

__all__ = ('Loss', 'find_losses')

_SERVED = '2'
_SHOWN = 3
_WORD = re.compile(r'[\w.:-]+')


@dataclass(slots=True)
class Loss:
    """Requests that were lost for one reason.

    Attributes
    ----------
    tokens
        Of their prompts and expected answers.
    examples
        Ids of the first few.
    """

    reason: str
    requests: int = 0
    tokens: int = 0
    examples: list[str] = field(default_factory=list)

    def add(self, request: str, tokens: int) -> None:
        """Count a request."""
        self.requests += 1
        self.tokens += tokens
        if len(self.examples) < _SHOWN:
            self.examples.append(request)


def find_losses(lines: Sequence[LogLine]) -> list[Loss]:
    """Return what was lost, by reason, the dearest first.

    Parameters
    ----------
    lines
        Of all processes, as for a story.
    """
    names = _find_names(lines)
    sent: dict[str, int] = {}
    ends: dict[str, LogLine] = {}
    for line in lines:
        request = line.read('request')
        if line.event == 'sent':
            sent.setdefault(request, int(line.read('tokens') or 0))
        elif line.event in OUTCOMES:
            ends[request] = line
    losses: dict[str, Loss] = {}
    for request in dict.fromkeys((*sent, *ends)):
        reason = _find_reason(lines, request, ends.get(request))
        if reason:
            reason = _leave_out(names, reason)
            loss = losses.setdefault(reason, Loss(reason))
            loss.add(request, sent.get(request, 0))
    return sorted(
        losses.values(), key=lambda loss: (-loss.tokens, -loss.requests)
    )


def _find_reason(
    lines: Sequence[LogLine], request: str, end: LogLine | None
) -> str:
    """Return why a request was lost or late, empty when it was neither."""
    if end is not None and end.event == 'answered':
        if not end.read('status').startswith(_SERVED):
            status = end.read('status')
            return f'its back end answered with status {status}'
        late = end.read('late')
        return f'late: {late}' if late else ''
    return tell_story(lines, request).verdict


def _leave_out(names: dict[str, str], reason: str) -> str:
    """Return a reason without names, so that alike ones count together."""
    return _WORD.sub(lambda word: names.get(word[0], word[0]), reason)


def _find_names(lines: Sequence[LogLine]) -> dict[str, str]:
    """Return the names that verdicts may hold, with what they stand for."""
    names = {line.process: 'an entry' for line in lines if line.process}
    names.update(
        {
            line.read('endpoint'): 'a back end'
            for line in lines
            if line.read('endpoint')
        }
    )
    return names
