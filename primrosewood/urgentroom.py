"""Room that less urgent generations leave for more urgent ones.

When engines run out of memory, a generation that asks for memory waits for
those that run, or takes it from the least urgent of them, which then starts
anew.  Neither happens while the less urgent ones leave room.
"""

from collections.abc import Collection

from .backendstate import Backend
from .directcalls import DirectCall

__all__ = ('UrgentRoom', 'has_room')

# Room is left for this many of the more urgent prompts on each engine.
_PROMPTS_KEPT_FREE = 2
# Weight of the newest call in the mean size of a prompt.
_NEWEST_WEIGHT = 0.05
# A call that has waited longer than this share of its objective will be late.
_ON_TIME_SHARE = 0.6
# Objectives for which a call may wait for room.  Callers give up a stream after
# four objectives without an event.
_LONGEST_WAIT = 1.5


class UrgentRoom:
    """Learns how much memory the calls of each rank need.

    Attributes
    ----------
    enabled
        Whether less urgent calls leave room for more urgent ones.
    """

    def __init__(self, enabled: bool = False) -> None:
        """Start without calls."""
        self.enabled = enabled
        self._prompts: dict[tuple[str, int], float] = {}

    def record_call(self, call: DirectCall) -> None:
        """Learn from the size of a call's prompt."""
        if call.priority is None or call.size is None:
            return
        key = (call.service, call.priority)
        size = call.size.prompt_tokens
        mean = self._prompts.get(key, size)
        self._prompts[key] = mean + _NEWEST_WEIGHT * (size - mean)

    def tokens_kept_free(self, call: DirectCall, now: float) -> int:
        """Return the memory in tokens that a call has to leave on an engine.

        A call that would be late also leaves room for one of its own rank that
        may still be on time.
        """
        if not self.enabled or call.priority is None:
            return 0
        more_urgent = [
            mean
            for (service, rank), mean in self._prompts.items()
            if service == call.service and rank < call.priority
        ]
        if not more_urgent:
            return 0
        kept_free = _PROMPTS_KEPT_FREE * max(more_urgent)
        if now > call.arrived + call.route.objective * _ON_TIME_SHARE:
            kept_free += self._prompts.get((call.service, call.priority), 0)
        return int(kept_free)

    def must_wait(
        self, call: DirectCall, engines: Collection[Backend], now: float
    ) -> bool:
        """Return whether a call is held back, as no engine has room for it.

        Without any engine it is not, so that it is refused at once.
        """
        if call.size is None or not engines:
            return False
        waits_until = call.arrived + call.route.objective * _LONGEST_WAIT
        kept_free = self.tokens_kept_free(call, now)
        if not kept_free or now >= min(waits_until, call.deadline):
            return False
        needed = call.size.prompt_tokens + kept_free
        return not any(has_room(engine, needed) for engine in engines)


def has_room(engine: Backend, tokens: int) -> bool:
    """Return whether an engine has memory free and nobody waits for it.

    An empty engine has room for anything that it can hold at all.
    """
    state = engine.state
    if state is None or not state.total_tokens:
        return True
    if state.queued_tokens:
        return False
    free_tokens = state.total_tokens - engine.reserved_tokens
    return min(tokens, state.total_tokens) <= free_tokens
