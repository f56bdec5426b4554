"""What an entry still takes on during a planned stop."""

from .directcalls import DirectCall
from .enginepace import PROMPT_TOKENS_A_SECOND, TOKEN_SECONDS
from .identity import digest_key
from .logs import log_decision

__all__ = ('StopWindow',)

# Lengths are guesses; a stream whose guess fills more than this share of the
# time that is left would rather often be cut.
_FILLED = 0.7

# Why a call may begin during a stop, or may not.
_PLAIN = 'plain'
_ENDS_IN_TIME = 'ends_in_time'
_CAME_BACK = 'came_back'
_TOO_LONG = 'too_long'


class StopWindow:
    """Decides which streams may begin while the process is being stopped.

    A stream cannot be handed to another entry, as its connection ends with
    this process.  One that would outlive the process is refused at once, with
    a time to come back so short that it is on time elsewhere.  Where the
    balancer has no other entry the caller comes back here; then a stream that
    may be cut is better than none.

    Attributes
    ----------
    seconds
        From the signal to the end of the process; a change counts for a stop
        that has not begun.
    """

    def __init__(self, seconds: float) -> None:
        """Start without a stop."""
        self.seconds = seconds
        self._ends_at: float | None = None
        self._refused: set[str] = set()

    @property
    def begun(self) -> bool:
        """Whether the process is being stopped."""
        return self._ends_at is not None

    def begin(self, now: float) -> None:
        """Note the signal."""
        self._ends_at = now + self.seconds

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
        why = self._judge(call, answer_tokens, left)
        size = call.size
        log_decision(
            'judged_while_stopping',
            request=call.name,
            organisation=call.organisation,
            admitted=why != _TOO_LONG,
            why=why,
            guess=answer_tokens,
            hint=size.hint if size else None,
            most=size.most_tokens if size else None,
            prompt=size.prompt_tokens if size else None,
            left=left,
        )
        return why != _TOO_LONG

    def _judge(self, call: DirectCall, answer_tokens: int, left: float) -> str:
        """Return why a call may begin, or that it may not."""
        if call.size is None:
            return _PLAIN
        seconds = answer_tokens * TOKEN_SECONDS
        seconds += call.size.prompt_tokens / PROMPT_TOKENS_A_SECOND
        if seconds <= left * _FILLED:
            return _ENDS_IN_TIME
        # A caller that comes back does so under another name.
        asked = digest_key(call.target, call.organisation, call.body.hex())
        if asked in self._refused:
            return _CAME_BACK
        self._refused.add(asked)
        return _TOO_LONG
