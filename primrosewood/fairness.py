"""Fair queueing over organisations by tokens served."""

import heapq
import math
from dataclasses import dataclass, field

__all__ = ('FairQueue', 'Waiting')

_BAND_TOKENS = 3000.0


@dataclass(slots=True)
class Waiting:
    """A request that waits for admission.

    Attributes
    ----------
    name
        The attempt.
    organisation, share
        Whose request it is, and that organisation's weight.
    expected
        Expected tokens of the answer.
    since, until, deadline
        When it began to wait, its latest start and the end of its answer's
        use, monotonic seconds.
    """

    name: str
    organisation: str
    share: float
    expected: float
    since: float
    until: float
    deadline: float


@dataclass(slots=True)
class _Flow:
    served: float = 0.0
    share: float = 1.0
    waiting: list[Waiting] = field(default_factory=list)


class FairQueue:
    """Bounded queue that serves the organisation furthest behind its share.

    Service is counted in tokens, not requests: an organisation that asks for
    long answers gets fewer of them. Short expected answers go first, but a
    nearing deadline makes any request go before others, so a long one is not
    passed over for ever.
    """

    def __init__(self, max_output_tokens: int) -> None:
        """Start empty.

        Parameters
        ----------
        longest
            Requests that may wait.
        """
        self._longest = max_output_tokens
        self._flows: dict[str, _Flow] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._count

    def has_room(self, organisation: str) -> bool:
        """Tell whether one more request of an organisation may wait.

        A full queue still leaves each organisation its even part, so that a
        large one cannot shut out a small one.
        """
        if self._count < self._longest:
            return True
        flow = self._flows.get(organisation)
        waiting = len(flow.waiting) if flow else 0
        busy = sum(1 for other in self._flows.values() if other.waiting)
        return waiting < self._longest // (busy + 1)

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        flow = self._flow(waiting.organisation, waiting.share)
        if not flow.waiting:
            # No credit is saved up by asking for nothing.
            flow.served = max(flow.served, self._least_served())
        flow.waiting.append(waiting)
        self._count += 1

    def candidates(self, now: float, most: int) -> list[Waiting]:
        """Return the requests to be served next, the first one first.

        Organisations whose service differs by less than a band count as even,
        and among their requests the urgent and the short go first; so an
        organisation's share holds over time, and a certificate does not miss
        its deadline for a handful of tokens.

        Parameters
        ----------
        now
            Monotonic seconds.
        most
            How many to return at the most.
        """
        limit = self._least_served() + _BAND_TOKENS
        even = (
            waiting
            for flow in self._flows.values()
            for waiting in flow.waiting
            if flow.served <= limit
        )
        return heapq.nsmallest(
            most, even, key=lambda waiting: _rank(waiting, now)
        )

    def remove(self, name: str) -> Waiting | None:
        """Take a request out, wherever it stands."""
        for flow in self._flows.values():
            for waiting in flow.waiting:
                if waiting.name == name:
                    flow.waiting.remove(waiting)
                    self._count -= 1
                    return waiting
        return None

    def charge(self, organisation: str, share: float, tokens: float) -> None:
        """Count tokens served to an organisation."""
        flow = self._flow(organisation, share)
        flow.served += tokens / flow.share

    def expire(self, now: float) -> list[Waiting]:
        """Take out and return all whose latest start has passed."""
        late = [each for each in self._all() if each.until <= now]
        for waiting in late:
            self.remove(waiting.name)
        return late

    def drain(self) -> list[Waiting]:
        """Take out and return all."""
        everything = self._all()
        for waiting in everything:
            self.remove(waiting.name)
        return everything

    def _all(self) -> list[Waiting]:
        return [
            waiting for flow in self._flows.values() for waiting in flow.waiting
        ]

    def _flow(self, organisation: str, share: float) -> _Flow:
        flow = self._flows.get(organisation)
        if flow is None:
            flow = self._flows.setdefault(organisation, _Flow())
            flow.served = self._least_served()
        flow.share = share
        return flow

    def _least_served(self) -> float:
        busy = [flow.served for flow in self._flows.values() if flow.waiting]
        return min(busy, default=0.0)


def _rank(waiting: Waiting, now: float) -> float:
    left = max(0, waiting.deadline - now)
    return math.sqrt(waiting.expected) * left
