"""Weighted fair queueing over organisations by tokens served."""

import heapq
import math
from dataclasses import dataclass, field

__all__ = ('FairQueue', 'QueuedRequest')

_EQUAL_SERVICE_TOKENS = 3000.0


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for admission.

    Attributes
    ----------
    name
        Identifier of the attempt.
    organisation, share
        Organisation that sent the request, and its weight.
    expected_tokens
        Expected tokens of the answer.
    queued_at, latest_start, deadline
        Time of arrival in the queue, time when the wait is given up, and
        deadline of the answer, in monotonic seconds.
    """

    name: str
    organisation: str
    share: float
    expected_tokens: float
    queued_at: float
    latest_start: float
    deadline: float


@dataclass(slots=True)
class _Flow:
    """Queue and service of one organisation.

    `served` counts tokens divided by the organisation's weight.
    """

    served: float = 0.0
    share: float = 1.0
    waiting: list[QueuedRequest] = field(default_factory=list)


class FairQueue:
    """Bounded queue that serves the organisation furthest below its share.

    Service is counted in tokens, not requests: an organisation that asks for
    long answers gets fewer of them. Requests with short expected answers go
    first, but the priority of every request rises as its deadline approaches,
    so long ones do not starve.
    """

    def __init__(self, capacity: int) -> None:
        """Start empty.

        Parameters
        ----------
        capacity
            Maximum number of waiting requests.
        """
        self._capacity = capacity
        self._flows: dict[str, _Flow] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._count

    def may_wait(self, organisation: str) -> bool:
        """Return whether one more request of an organisation may wait.

        Beyond its capacity the queue still accepts an organisation with less
        than an equal part of it, so that a large organisation cannot shut
        out a small one.
        """
        if self._count < self._capacity:
            return True
        flow = self._flows.get(organisation)
        waiting = len(flow.waiting) if flow else 0
        active = sum(1 for other in self._flows.values() if other.waiting)
        return waiting < self._capacity // (active + 1)

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        flow = self._get_flow(waiting.organisation, waiting.share)
        if not flow.waiting:
            # An idle organisation does not accumulate credit.
            flow.served = max(flow.served, self._least_served())
        flow.waiting.append(waiting)
        self._count += 1

    def candidates(self, now: float, max_count: int) -> list[QueuedRequest]:
        """Return the requests to be served next, in order of priority.

        Organisations whose service exceeds the least by no more than
        `_EQUAL_SERVICE_TOKENS` count as equal, and among their requests
        urgent and short ones go first. Shares thus hold over time, but no
        request misses its deadline over a difference of a few tokens.

        Parameters
        ----------
        now
            Monotonic seconds.
        max_count
            Maximum number of requests to return.
        """
        max_served = self._least_served() + _EQUAL_SERVICE_TOKENS
        eligible = (
            waiting
            for flow in self._flows.values()
            for waiting in flow.waiting
            if flow.served <= max_served
        )
        return heapq.nsmallest(
            max_count, eligible, key=lambda waiting: _rank_urgency(waiting, now)
        )

    def remove(self, name: str) -> QueuedRequest | None:
        """Remove and return a request, None when it does not wait."""
        for flow in self._flows.values():
            for waiting in flow.waiting:
                if waiting.name == name:
                    flow.waiting.remove(waiting)
                    self._count -= 1
                    return waiting
        return None

    def charge(self, organisation: str, share: float, tokens: float) -> None:
        """Add tokens to the service that an organisation has received."""
        flow = self._get_flow(organisation, share)
        flow.served += tokens / flow.share

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return all requests whose latest start has passed."""
        expired = [
            request
            for request in self._list_waiting()
            if request.latest_start <= now
        ]
        for waiting in expired:
            self.remove(waiting.name)
        return expired

    def drain(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        drained = self._list_waiting()
        for waiting in drained:
            self.remove(waiting.name)
        return drained

    def _list_waiting(self) -> list[QueuedRequest]:
        return [
            waiting for flow in self._flows.values() for waiting in flow.waiting
        ]

    def _get_flow(self, organisation: str, share: float) -> _Flow:
        flow = self._flows.get(organisation)
        if flow is None:
            flow = self._flows.setdefault(organisation, _Flow())
            flow.served = self._least_served()
        flow.share = share
        return flow

    def _least_served(self) -> float:
        active = [flow.served for flow in self._flows.values() if flow.waiting]
        return min(active, default=0.0)


def _rank_urgency(waiting: QueuedRequest, now: float) -> float:
    """Return a sort key; requests with lower values go first."""
    seconds_left = max(0, waiting.deadline - now)
    return math.sqrt(waiting.expected_tokens) * seconds_left
