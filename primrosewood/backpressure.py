"""What a back end asks of this process in its answers."""

from dataclasses import dataclass

from .errors import BackendPausedError, ErrorKind
from .logs import log_decision

__all__ = ('AnswerNotice', 'Backpressure')

_NEVER = float('-inf')
# Calls that cannot go anywhere else and may be made during one pause.  Back
# ends bear two; the other one may have been on its way when the pause began.
_EXEMPT_CALLS = 1


@dataclass(frozen=True, slots=True)
class AnswerNotice:
    """What one answer says about calls to its back end.

    Attributes
    ----------
    pause_seconds
        Seconds for which it wants no calls from this process, 0 for none.
    leaving
        Whether it is about to leave.
    """

    pause_seconds: float = 0
    leaving: bool = False


@dataclass(slots=True)
class Backpressure:
    """The notices of one start of a back end that are in force.

    Attributes
    ----------
    paused_until
        Monotonic seconds until which it wants no calls.
    leaving_since
        Monotonic seconds at which it first said that it is leaving, None if it
        has not.
    """

    paused_until: float = _NEVER
    leaving_since: float | None = None
    _exempt_calls: int = 0

    def heed(self, endpoint: str, notice: AnswerNotice, now: float) -> None:
        """Apply the notice in an answer; a later one never takes it back."""
        if notice.pause_seconds:
            self._pause(endpoint, notice.pause_seconds, now)
        if notice.leaving and self.leaving_since is None:
            self.leaving_since = now
            log_decision('leaving_stated', endpoint=endpoint)

    def seconds_until_call(self, now: float) -> float:
        """Return the seconds until the pause ends, 0 without one."""
        return max(0, self.paused_until - now)

    def require_no_pause(self, now: float) -> None:
        """Raise an error with the seconds that are left of a pause.

        Raises
        ------
        BackendPausedError
            The back end wants no calls.
        """
        seconds = self.seconds_until_call(now)
        if seconds:
            raise BackendPausedError(
                ErrorKind.overloaded, retry_seconds=seconds
            )

    def allow_exempt_call(self, now: float) -> bool:
        """Return whether a call that cannot go elsewhere may be made now."""
        if now >= self.paused_until:
            return True
        self._exempt_calls += 1
        return self._exempt_calls <= _EXEMPT_CALLS

    def _pause(self, endpoint: str, seconds: float, now: float) -> None:
        if now >= self.paused_until:
            self._exempt_calls = 0
        log_decision(
            'pause_asked',
            endpoint=endpoint,
            seconds=seconds,
            before=self.seconds_until_call(now) or None,
        )
        self.paused_until = max(self.paused_until, now + seconds)
