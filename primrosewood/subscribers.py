"""Tracks which entries subscribe to which work at an endpoint."""

from . import gen_wire as wire
from .clock import Clock
from .jobs import Job, Subscriber
from .link import Link

__all__ = ('SubscriberRegistry',)


class SubscriberRegistry:
    """Subscribers by the identifier of their entry's attempt.

    Parameters
    ----------
    clock
        Source of monotonic time.
    window_tokens
        Maximum number of tokens sent ahead of a receiver's credit.
    """

    def __init__(self, clock: Clock, window_tokens: int) -> None:
        """Start without subscribers."""
        self._clock = clock
        self._window_tokens = window_tokens
        self._subscribers: dict[str, Subscriber] = {}

    def add(
        self, job: Job, subscriber_attempt: str, link: Link, offset: int = 0
    ) -> None:
        """Subscribe an attempt to work from an offset on."""
        subscriber = Subscriber(
            subscriber_attempt, job, link, offset, self._window_tokens
        )
        job.subscribers[subscriber_attempt] = subscriber
        job.orphaned_at = None
        self._subscribers[subscriber_attempt] = subscriber
        link.notify(subscriber)

    def find(self, subscriber_attempt: str, link: Link) -> Subscriber | None:
        """Return an attempt's subscriber if it uses this connection."""
        subscriber = self._subscribers.get(subscriber_attempt)
        if subscriber is None or subscriber.link is not link:
            return None
        return subscriber

    def apply_credit(self, credit: wire.Credit, link: Link) -> None:
        """Apply credit that lets a subscriber send more tokens."""
        subscriber = self.find(credit.attempt, link)
        if subscriber is not None:
            subscriber.apply_credit(credit.offset)

    def remove(self, subscriber: Subscriber) -> None:
        """Remove a subscriber; its work continues."""
        self._subscribers.pop(subscriber.attempt, None)
        job = subscriber.job
        job.subscribers.pop(subscriber.attempt, None)
        if not job.subscribers and job.orphaned_at is None:
            job.orphaned_at = self._clock.monotonic()

    def remove_link(self, link: Link) -> None:
        """Remove all subscribers of a closed connection."""
        for subscriber in list(self._subscribers.values()):
            if subscriber.link is link:
                self.remove(subscriber)

    def remove_job(self, job: Job) -> None:
        """Remove all subscribers of work that is discarded."""
        for subscriber in list(job.subscribers.values()):
            self.remove(subscriber)
