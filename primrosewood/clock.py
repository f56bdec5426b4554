"""Clocks and random sources that tests and replays can replace."""

import random
import time
from collections.abc import Sequence
from typing import Protocol

__all__ = ('Clock', 'RandomSource', 'SystemClock', 'make_random')


class Clock(Protocol):
    """A source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""


class RandomSource(Protocol):
    """The methods of :class:`random.Random` that the system uses."""

    def random(self) -> float:
        """Return a number in [0, 1)."""

    def sample(self, population: Sequence, k: int) -> list:  # noqa: WPS111
        """Return ``k`` distinct members of the population."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""
        return time.time()


def make_random(seed: int | None = None) -> random.Random:
    """Return a random source, seeded from the system's entropy if None."""
    return random.Random(seed)
