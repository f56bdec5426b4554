"""Who listens to which work at an endpoint."""

from . import gen_wire as wire
from .clock import Clock
from .jobs import Job, Subscriber
from .link import Link

__all__ = ('Listeners',)


class Listeners:
    """Subscribers by the channel under which their entry knows them.

    Parameters
    ----------
    clock
        Source of monotonic time.
    window
        Tokens sent ahead of a receiver's credit.
    """

    def __init__(self, clock: Clock, window: int) -> None:
        """Start without subscribers."""
        self._clock = clock
        self._window = window
        self._subscribers: dict[str, Subscriber] = {}

    def add(self, job: Job, channel: str, link: Link, offset: int = 0) -> None:
        """Let a channel listen to work from a token on."""
        subscriber = Subscriber(channel, job, link, offset, self._window)
        job.subscribers[channel] = subscriber
        job.orphaned_at = None
        self._subscribers[channel] = subscriber
        link.notify(subscriber)

    def find(self, channel: str, link: Link) -> Subscriber | None:
        """Return a channel's subscriber if it came by this connection."""
        subscriber = self._subscribers.get(channel)
        if subscriber is None or subscriber.link is not link:
            return None
        return subscriber

    def take_credit(self, credit: wire.Credit, link: Link) -> None:
        """Let a subscriber send on."""
        subscriber = self.find(credit.attempt, link)
        if subscriber is not None:
            subscriber.give_credit(credit.offset)

    def remove(self, subscriber: Subscriber) -> None:
        """Drop a subscriber; its work goes on."""
        self._subscribers.pop(subscriber.attempt, None)
        job = subscriber.job
        job.subscribers.pop(subscriber.attempt, None)
        if not job.subscribers and job.orphaned_at is None:
            job.orphaned_at = self._clock.monotonic()

    def remove_link(self, link: Link) -> None:
        """Drop all subscribers of a closed connection."""
        for subscriber in list(self._subscribers.values()):
            if subscriber.link is link:
                self.remove(subscriber)

    def remove_job(self, job: Job) -> None:
        """Drop all subscribers of work that is given up."""
        for subscriber in list(job.subscribers.values()):
            self.remove(subscriber)
