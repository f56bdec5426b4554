"""What the outcomes of calls say about back ends and their versions."""

from http import HTTPStatus

from .backendstate import Backend
from .balancing import Reservation
from .callprogress import CallProgress
from .clock import Clock
from .crashguard import CrashGuard
from .directcalls import DirectCall
from .errors import MisdirectedError, NotRunError
from .logs import log_decision
from .rolloutcontrol import RolloutControl

__all__ = ('CallEvidence',)

# A cancelled call counts as a failure of its back end after this many times
# the route's objective without any event; callers abandon a silent stream
# about then.
_SILENT_OBJECTIVES = 4
# A back end that is gone without a word may have been silent for so long as a
# call was given up.
_SILENT_SECONDS = 1.0


class CallEvidence:
    """Records outcomes of calls where later choices look for them.

    Parameters
    ----------
    rollouts
        Judges versions that are rolled out, None if nobody does.
    guard
        Learns which calls crash engines, None if nobody does.
    """

    def __init__(
        self,
        clock: Clock,
        rollouts: RolloutControl | None,
        guard: CrashGuard | None,
    ) -> None:
        """Start without outcomes."""
        self._clock = clock
        self._rollouts = rollouts
        self._guard = guard

    def record_outcome(
        self, progress: CallProgress, backend: Backend, status: int
    ) -> None:
        """Count an answer as evidence for the version of its back end."""
        if self._rollouts is None:
            return
        failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        pace = 0 if failed else self._measure_pace(progress)
        route = progress.call.route.name
        self._rollouts.record(route, backend, failed, pace)

    def record_survival(
        self, call: DirectCall, events: int | None = None
    ) -> None:
        """Record that a back end answers a call and did not end on it.

        Parameters
        ----------
        events
            Events of the answer so far, None if it is complete.
        """
        if self._guard is not None:
            self._guard.record_survival(call, events)

    def record_cut(
        self, progress: CallProgress, backend: Backend, sent_at: float
    ) -> None:
        """Count a call whose connection failed before the answer was whole."""
        call = progress.call
        backend.record_failure(self._clock.monotonic())
        self._blame(progress, backend, sent_at)
        # A back end that leaves or is gone cuts its calls whatever its version.
        if self._rollouts is not None and not backend.stopping:
            self._rollouts.record(call.route.name, backend, True, 0)

    def record_refusal(self, backend: Backend, error: NotRunError) -> None:
        """Avoid a back end that did not take a call."""
        if isinstance(error, MisdirectedError):
            backend.mark_misdirected(self._clock.monotonic())
            log_decision(
                'endpoint_misplaced',
                endpoint=backend.name,
                address=backend.record.address,
                revision=backend.record.revision,
            )
        else:
            backend.mark_suspect(self._clock.monotonic())

    def record_unanswered(
        self, progress: CallProgress, reservation: Reservation, since: float
    ) -> None:
        """Count a cancelled call as failed if it got no event in time.

        A back end that hangs on some calls does not reset their connections;
        only timeouts and cancelled calls reveal it.
        """
        now = self._clock.monotonic()
        silence_limit = _SILENT_OBJECTIVES * progress.call.route.objective
        if not reservation.answered and now >= since + silence_limit:
            reservation.backend.record_failure(now)
        silence = progress.silence(now)
        waited = now - since if silence is None else min(silence, now - since)
        if waited >= _SILENT_SECONDS:
            self._blame(progress, reservation.backend, since)

    def _blame(
        self, progress: CallProgress, backend: Backend, sent_at: float
    ) -> None:
        """Tell the guard that a back end may have ended under a call."""
        if self._guard is not None:
            seconds = self._clock.monotonic() - sent_at
            events = progress.order.last or 0
            self._guard.record_cut(progress.call, backend, seconds, events)

    def _measure_pace(self, progress: CallProgress) -> float:
        """Return the seconds for an answer, or for an event of a stream.

        Answers that needed several sends say nothing about one back end.
        """
        if progress.sends > 1:
            return 0
        seconds = self._clock.monotonic() - progress.call.arrived
        if progress.first_event is None or not progress.order.last:
            return seconds
        return (seconds - progress.first_event) / progress.order.last
