"""What an entry still takes on during a planned stop."""

import math

from .directcalls import DirectCall, GenerationSize
from .enginepace import PROMPT_TOKENS_A_SECOND, TOKEN_SECONDS
from .identity import digest_key
from .logs import log_decision

__all__ = ('StopWindow',)

# Of the time that is left: early in a stop for an answer of the expected
# length, late for one of the greatest length.
_FILLED = 0.7
# A token where prompts are read beside it, or the engine has just started.
_SLOW_TOKEN_SECONDS = 2 * TOKEN_SECONDS
# To another entry, which may be ready.
_RETURN_SECONDS = 0.05
# From the end of a process until the platform has started it again and the
# balancer has seen that it is ready.
_RESTART_SECONDS = 2.0

# Why a call may begin during a stop, or may not.
_PLAIN = 'plain'
_ENDS_IN_TIME = 'ends_in_time'
_CAME_BACK = 'came_back'
_TOO_LONG = 'too_long'


class StopWindow:
    """Decides which calls may begin while the process is being stopped.

    A stream cannot be handed to another entry, as its connection ends with
    this process.

    Until the balancer has noticed the stop, callers come as ever and the time
    left is long.  A stream that is expected to outlive the process is refused
    at once, with a time to come back so short that it is on time elsewhere.
    Where the balancer has no other entry the caller comes back here; then a
    stream that may be cut is better than none.

    After that only a stream that ends even at its greatest length begins, and
    it is handed on whole or not at all.  A caller's guess is too short in
    half of all cases, at times by far, and with seconds left nothing makes up
    for it: the caller would get part of an answer in place of a refusal after
    which it may come back.

    Attributes
    ----------
    seconds
        From the signal to the end of the process; a change counts for a stop
        that has not begun.
    """

    def __init__(self, seconds: float, noticed_seconds: float) -> None:
        """Start without a stop.

        Parameters
        ----------
        seconds
            From the signal to the end of the process.
        noticed_seconds
            From the signal until the balancer sends callers elsewhere, if it
            can.
        """
        self.seconds = seconds
        self._noticed_seconds = noticed_seconds
        self._noticed_at = 0.0
        self._ends_at: float | None = None
        self._refused: set[str] = set()

    @property
    def begun(self) -> bool:
        """Whether the process is being stopped."""
        return self._ends_at is not None

    def begin(self, now: float) -> None:
        """Note the signal."""
        self._noticed_at = now + self._noticed_seconds
        self._ends_at = now + self.seconds

    def end(self, now: float) -> None:
        """Note that the process ends now; nothing may begin any more."""
        self._ends_at = now

    def admits(self, call: DirectCall, answer_tokens: int, now: float) -> bool:
        """Tell whether a call may begin.

        Parameters
        ----------
        call
            The call.
        answer_tokens
            Expected length of its answer.
        now
            Monotonic seconds.
        """
        if self._ends_at is None:
            return True
        left = self._ends_at - now
        why = self._judge(call, answer_tokens, now)
        size = call.size
        log_decision(
            'judged_while_stopping',
            request=call.name,
            organisation=call.organisation,
            admitted=why != _TOO_LONG,
            why=why,
            guess=answer_tokens,
            hint=size.hint if size else None,
            most=size.max_answer_tokens if size else None,
            prompt=size.prompt_tokens if size else None,
            left=left,
        )
        return why != _TOO_LONG

    def seconds_until_retry(self, now: float) -> float:
        """Return when a caller that is refused should come back.

        Early, another entry may be ready, and the answer still be on time.
        Late, callers come here because the balancer has hardly any other: one
        that came straight back would be refused again, for good.
        """
        if now < self._noticed_at:
            return _RETURN_SECONDS
        return max(0, self._ends_at - now) + _RESTART_SECONDS

    def must_buffer(self, call: DirectCall, judged: float) -> bool:
        """Tell whether a stream is handed on only when it is whole.

        One that was let in late ends before the process at any usual pace,
        but its engine may stall or leave.  Nothing short of its end shows
        that it does not; half an answer is worse than an error.

        Parameters
        ----------
        call
            The call.
        judged
            When it was let in, in monotonic seconds.
        """
        begun = self._ends_at is not None and call.size is not None
        return begun and judged >= self._noticed_at

    def _judge(self, call: DirectCall, answer_tokens: int, now: float) -> str:
        """Return why a call may begin, or that it may not."""
        left = self._ends_at - now
        if not call.route.streaming:
            # Few calls take longer than their objective.
            return _PLAIN if left >= call.route.objective else _TOO_LONG
        left *= _FILLED
        if left <= 0:
            return _TOO_LONG
        if now >= self._noticed_at:
            ends = _greatest_seconds(call.size) <= left
            return _ENDS_IN_TIME if ends else _TOO_LONG
        if _expected_seconds(call.size, answer_tokens) <= left:
            return _ENDS_IN_TIME
        # A caller that comes back does so under another name.
        asked = digest_key(call.target, call.organisation, call.body.hex())
        if asked in self._refused:
            return _CAME_BACK
        self._refused.add(asked)
        return _TOO_LONG


def _expected_seconds(size: GenerationSize | None, answer_tokens: int) -> float:
    return _prompt_seconds(size) + answer_tokens * TOKEN_SECONDS


def _greatest_seconds(size: GenerationSize | None) -> float:
    if size is None or not size.max_answer_tokens:
        return math.inf
    return _prompt_seconds(size) + size.max_answer_tokens * _SLOW_TOKEN_SECONDS


def _prompt_seconds(size: GenerationSize | None) -> float:
    return size.prompt_tokens / PROMPT_TOKENS_A_SECOND if size else 0
