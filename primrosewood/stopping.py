"""Admission of new calls at an entry during a planned stop."""

import math

from .directcalls import DirectCall, GenerationSize
from .enginespeed import PROMPT_TOKENS_PER_SECOND, TOKEN_SECONDS
from .identity import digest_key
from .logs import log_decision

__all__ = ('StopWindow',)

# Share of the remaining time that an admitted stream may take, by its expected
# length early in a stop and by its greatest length late.
_USABLE_SHARE = 0.7
# Answers are assumed to be so many times as long as expected early in a stop:
# half of all length hints are too low.
_LENGTH_MARGIN = 2
# Slow decoding: beside the prefill of other prompts, or on an engine that has
# just started.
_SLOW_TOKEN_SECONDS = 2 * TOKEN_SECONDS
# Time to pass an answer on that comes just as its call's deadline passes.
_DEADLINE_MARGIN_SECONDS = 0.2
# Retry-After early in a stop, when the load balancer may have another entry.
_RETRY_ELSEWHERE_SECONDS = 0.05
# From the end of the process until the platform has restarted it and the load
# balancer has found it ready.
_RESTART_SECONDS = 2.0

# Reasons for a decision, as they are logged.
_PLAIN = 'plain'
_ENDS_IN_TIME = 'ends_in_time'
_CAME_BACK = 'came_back'
_TOO_LONG = 'too_long'


class StopWindow:
    """Decides which calls an entry admits while its process is stopping.

    A stream cannot move to another entry, because the connection to its
    caller ends with this process.

    Until the load balancer notices the stop, calls arrive as usual and much
    time remains.  A stream that would outlive the process if it were somewhat
    longer than expected is refused at once, with a Retry-After so short that
    another entry can still answer on time.  If the balancer has no other
    entry, the caller's retry arrives here again; it is admitted, as a stream
    that may be cut is better than none.

    After that, only a stream that fits even at its greatest length is
    admitted, and its answer is buffered and sent complete or not at all.
    Some length hints are too low by far, and in the last seconds no time
    remains to make up for it: the caller would get part of an answer instead
    of a refusal that it may retry.

    A plain call is admitted if its deadline passes before the end, or if
    recent calls like it were answered within a part of the remaining time.
    Early in a stop, the retry of a repeatable one is admitted as well.

    Attributes
    ----------
    seconds
        From the stop signal to the end of the process.  A change applies only
        to a stop that has not begun.
    """

    def __init__(self, seconds: float, balancer_notice_seconds: float) -> None:
        """Start with no stop in progress.

        Parameters
        ----------
        seconds
            From the stop signal to the end of the process.
        balancer_notice_seconds
            From the stop signal until the load balancer sends callers to
            other entries, if it has any.
        """
        self.seconds = seconds
        self._balancer_notice_seconds = balancer_notice_seconds
        self._balancer_noticed_at = 0.0
        self._ends_at: float | None = None
        self._refused_requests: set[str] = set()

    @property
    def begun(self) -> bool:
        """Whether the process is being stopped."""
        return self._ends_at is not None

    def begin(self, now: float) -> None:
        """Start the stop, when its signal is received."""
        self._balancer_noticed_at = now + self._balancer_notice_seconds
        self._ends_at = now + self.seconds

    def end(self, now: float) -> None:
        """End the window, as the process exits now; admit no more calls."""
        self._ends_at = now

    def admits(
        self,
        call: DirectCall,
        answer_tokens: int,
        now: float,
        recent_seconds: float | None = None,
    ) -> bool:
        """Return whether a call may begin; log the decision during a stop.

        Parameters
        ----------
        call
            The call.
        answer_tokens
            Expected length of its answer in tokens.
        now
            Monotonic seconds.
        recent_seconds
            Longest recent answer time of plain calls like this one, None if
            there were none.
        """
        if self._ends_at is None:
            return True
        left = self._ends_at - now
        if call.route.streaming:
            why = self._decide(call, answer_tokens, now)
        else:
            why = self._decide_plain(call, now, recent_seconds)
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
            recent=recent_seconds,
        )
        return why != _TOO_LONG

    def seconds_until_retry(self, now: float) -> float:
        """Return the Retry-After seconds for a refused caller.

        Early in the stop another entry may be ready and can still answer on
        time.  Late in the stop, calls arrive here only because the load
        balancer has hardly any other entry: an immediate retry would be
        refused again, and callers then give up.
        """
        if now < self._balancer_noticed_at:
            return _RETRY_ELSEWHERE_SECONDS
        return max(0, self._ends_at - now) + _RESTART_SECONDS

    def must_buffer(self, call: DirectCall, admitted_at: float) -> bool:
        """Return whether a stream is sent only once it is complete.

        A stream that was admitted late ends before the process at any usual
        decoding speed, but its engine may still stall or leave, which only the
        end of the stream rules out.  Part of an answer is worse for the caller
        than an error.

        Parameters
        ----------
        call
            The call.
        admitted_at
            When it was admitted, in monotonic seconds.
        """
        begun = self._ends_at is not None and call.route.streaming
        return begun and admitted_at >= self._balancer_noticed_at

    def _decide_plain(
        self, call: DirectCall, now: float, recent_seconds: float | None
    ) -> str:
        """Return the reason to admit a plain call, or `_TOO_LONG`."""
        left = self._ends_at - now
        limit = min(call.deadline, call.caller_deadline) - now
        if 0 < limit <= left - _DEADLINE_MARGIN_SECONDS:
            return _PLAIN
        objective = call.route.objective
        needed = objective
        if recent_seconds is not None:
            needed = max(objective, recent_seconds / _USABLE_SHARE)
        elif not (objective and call.route.repeatable):
            # Without recent calls, only the objective says how long such
            # calls usually take; a call that is cut must be repeatable then.
            return _TOO_LONG
        if left >= needed:
            return _PLAIN
        may_be_on_time = bool(objective) and left >= objective
        early = now < self._balancer_noticed_at
        if early and may_be_on_time and call.route.repeatable:
            return self._decide_retry(call)
        return _TOO_LONG

    def _decide_retry(self, call: DirectCall) -> str:
        """Return the reason to admit a call that was refused before."""
        # A retry has another call name, so it is recognised by its content.
        request_digest = digest_key(
            call.target, call.organisation, call.body.hex()
        )
        if request_digest in self._refused_requests:
            return _CAME_BACK
        self._refused_requests.add(request_digest)
        return _TOO_LONG

    def _decide(self, call: DirectCall, answer_tokens: int, now: float) -> str:
        """Return the reason to admit a stream, or `_TOO_LONG`."""
        left = (self._ends_at - now) * _USABLE_SHARE
        if left <= 0:
            return _TOO_LONG
        if now >= self._balancer_noticed_at:
            fits = _longest_seconds(call.size) <= left
            return _ENDS_IN_TIME if fits else _TOO_LONG
        if _expected_seconds(call.size, answer_tokens) <= left:
            return _ENDS_IN_TIME
        return self._decide_retry(call)


def _expected_seconds(size: GenerationSize | None, answer_tokens: int) -> float:
    tokens = answer_tokens * _LENGTH_MARGIN
    if size is not None and size.max_answer_tokens:
        tokens = min(tokens, size.max_answer_tokens)
    return _prompt_seconds(size) + tokens * TOKEN_SECONDS


def _longest_seconds(size: GenerationSize | None) -> float:
    if size is None or not size.max_answer_tokens:
        return math.inf
    return _prompt_seconds(size) + size.max_answer_tokens * _SLOW_TOKEN_SECONDS


def _prompt_seconds(size: GenerationSize | None) -> float:
    return size.prompt_tokens / PROMPT_TOKENS_PER_SECOND if size else 0
