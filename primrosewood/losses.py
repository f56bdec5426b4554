"""Summary, from logs alone, of requests that failed or were late."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from .loglines import OUTCOMES, LogLine
from .requesttrace import trace_request

__all__ = ('Loss', 'find_losses')

_SUCCESS_STATUS_PREFIX = '2'
_MAX_EXAMPLES = 3
_NAME = re.compile(r'[\w.:-]+')


@dataclass(slots=True)
class Loss:
    """Requests that failed or were late for one reason.

    Attributes
    ----------
    reason
        Reason without the names of processes and back ends.
    requests
        Number of the requests.
    tokens
        Tokens of their prompts and expected answers.
    examples
        IDs of the first few requests.
    """

    reason: str
    requests: int = 0
    tokens: int = 0
    examples: list[str] = field(default_factory=list)

    def add(self, request: str, tokens: int) -> None:
        """Count a request."""
        self.requests += 1
        self.tokens += tokens
        if len(self.examples) < _MAX_EXAMPLES:
            self.examples.append(request)


def find_losses(lines: Sequence[LogLine]) -> list[Loss]:
    """Return the losses by reason, those with the most tokens first.

    Parameters
    ----------
    lines
        Lines of all processes, ordered as for `trace_request`.
    """
    placeholders = _find_placeholders(lines)
    sent_tokens: dict[str, int] = {}
    outcomes: dict[str, LogLine] = {}
    for line in lines:
        request = line.get('request')
        if line.event == 'sent':
            sent_tokens.setdefault(request, int(line.get('tokens') or 0))
        elif line.event in OUTCOMES:
            outcomes[request] = line
    losses: dict[str, Loss] = {}
    for request in dict.fromkeys((*sent_tokens, *outcomes)):
        reason = _find_reason(lines, request, outcomes.get(request))
        if reason:
            reason = _replace_names(placeholders, reason)
            loss = losses.setdefault(reason, Loss(reason))
            loss.add(request, sent_tokens.get(request, 0))
    return sorted(
        losses.values(), key=lambda loss: (-loss.tokens, -loss.requests)
    )


def _find_reason(
    lines: Sequence[LogLine], request: str, outcome: LogLine | None
) -> str:
    """Return why a request failed or was late, empty when it was neither."""
    if outcome is not None and outcome.event == 'answered':
        if not outcome.get('status').startswith(_SUCCESS_STATUS_PREFIX):
            status = outcome.get('status')
            return f'its back end answered with status {status}'
        late = outcome.get('late')
        return f'late: {late}' if late else ''
    return trace_request(lines, request).verdict


def _replace_names(placeholders: dict[str, str], reason: str) -> str:
    """Return a reason with names replaced, so that equal ones are grouped."""
    return _NAME.sub(lambda name: placeholders.get(name[0], name[0]), reason)


def _find_placeholders(lines: Sequence[LogLine]) -> dict[str, str]:
    """Return a placeholder for each name that a verdict may contain."""
    placeholders = {line.process: 'an entry' for line in lines if line.process}
    placeholders.update(
        {
            line.get('endpoint'): 'a back end'
            for line in lines
            if line.get('endpoint')
        }
    )
    return placeholders
