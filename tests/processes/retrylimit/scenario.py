"""Disruptions of a deployment, drawn from a seed."""

import json
from dataclasses import dataclass, field
from random import Random


@dataclass(frozen=True)
class Fault:
    """Calls to back ends of a service that meet a fault for some time."""

    kind: str
    service: str
    begin: float
    end: float
    share: float = 0.9


@dataclass(frozen=True)
class Stop:
    """Processes that are stopped by SIGSTOP for some time.

    Attributes
    ----------
    group
        ``entries``, ``endpoints``, ``engines`` or ``services``.
    numbers
        Which of the group.
    """

    group: str
    numbers: tuple[int, ...]
    begin: float
    seconds: float


@dataclass(frozen=True)
class Kill:
    """Processes that are killed and restarted after a moment."""

    group: str
    numbers: tuple[int, ...]
    begin: float


@dataclass
class Scenario:
    """What happens in a run; times are seconds after the back ends have started.

    Attributes
    ----------
    gaps
        Seconds from the start of one entry to the next; the first one listens
        before the others start.
    first_start
        Whether the settings say that the deployment starts for the first time.
    says_first_again
        Whether the settings of a restarted entry still say so.
    leaves
        When an engine leaves and another one starts in its place.
    """

    seed: int
    gaps: tuple[float, ...]
    seconds: float = 36.0
    first_start: bool = True
    says_first_again: bool = True
    faults: list[Fault] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    kills: list[Kill] = field(default_factory=list)
    leaves: tuple[float, ...] = ()

    def describe(self):
        return json.dumps(self.__dict__, default=lambda each: each.__dict__)


def draw_scenario(seed, size):
    """Return the disruptions of a seed."""
    random = Random(seed)
    counts = {
        'entries': sum(size.entries),
        'endpoints': sum(size.engines),
        'engines': sum(size.engines),
        'services': sum(size.services),
    }

    def some(group, share):
        number = max(1, round(counts[group] * share))
        return tuple(random.sample(range(counts[group]), number))

    longest = random.choice((0.1, 0.1, 1.5, 4.0))
    scenario = Scenario(
        seed,
        tuple(random.uniform(0, longest) for _ in range(counts['entries'] - 1)),
        first_start=random.random() < 0.8,
        says_first_again=random.random() < 0.5,
    )
    refused_from = random.choice((0.0, random.uniform(3, 14)))
    for service in random.choice((('desk',), ('model',), ('desk', 'model'))):
        scenario.faults.append(
            Fault(
                random.choice(('refuse', 'refuse', 'refuse', 'reset')),
                service,
                refused_from,
                refused_from + random.uniform(10, 25),
                random.choice((0.5, 0.9)),
            )
        )
    for kind in random.sample(('hang', 'late', 'reset'), random.choice((0, 1))):
        begin = random.uniform(0, 20)
        end = begin + random.uniform(2, 8)
        service = random.choice(('desk', 'model'))
        scenario.faults.append(Fault(kind, service, begin, end, 0.5))
    for _ in range(random.choice((0, 1, 2, 3))):
        group = random.choice(('services', 'services', *counts))
        share = random.choice((0.2, 0.5, 1.0))
        scenario.stops.append(
            Stop(
                group,
                some(group, share),
                random.uniform(max(0, refused_from - 6), refused_from + 8),
                random.uniform(1, 9),
            )
        )
    for _ in range(random.choice((0, 1, 2, 4))):
        group = random.choice(('entries', 'entries', 'endpoints'))
        scenario.kills.append(
            Kill(
                group,
                some(group, random.choice((0.2, 0.5, 1.0))),
                random.uniform(refused_from, refused_from + 14),
            )
        )
    if random.random() < 0.5:
        scenario.leaves = tuple(
            random.uniform(2, 30) for _ in range(random.choice((3, 8)))
        )
    return scenario


def draw_starts(seed, size):
    """Return starts in turn of a new deployment whose back ends refuse calls."""
    random = Random(seed)
    gap = random.uniform(0.5, 4)
    return Scenario(
        seed,
        (gap,) * (sum(size.entries) - 1),
        faults=_refuse_both(0, 30),
    )


def draw_kills(seed, size):
    """Return kills of all entries, whose settings still say they are new."""
    random = Random(seed)
    everyone = tuple(range(sum(size.entries)))
    first = random.uniform(12, 15)
    gap = random.uniform(2.5, 5)
    return Scenario(
        seed,
        (0.1,) * (len(everyone) - 1),
        faults=_refuse_both(first - 1.5, 36),
        kills=[
            Kill('entries', everyone, first + number * gap)
            for number in range(random.choice((1, 3, 5)))
        ],
    )


def draw_stops(seed, size):
    """Return back ends that stop reading, and refuse calls as they go on."""
    random = Random(seed)
    begin, seconds = random.uniform(12, 15), random.uniform(3, 9)
    share = random.choice((0.25, 0.5, 1.0))
    stops = []
    for group, counts in (
        ('engines', size.engines),
        ('services', size.services),
    ):
        number = round(sum(counts) * share)
        numbers = tuple(random.sample(range(sum(counts)), number))
        stops.append(Stop(group, numbers, begin, seconds))
    return Scenario(
        seed,
        (0.1,) * (sum(size.entries) - 1),
        faults=_refuse_both(begin + seconds, 36),
        stops=stops,
    )


def draw_silences(seed, size):
    """Return kills of all entries while all processes beside engines stop."""
    random = Random(seed)
    everyone = tuple(range(sum(size.entries)))
    begin, seconds = random.uniform(13, 16), random.uniform(5, 9)
    return Scenario(
        seed,
        (0.1,) * (len(everyone) - 1),
        says_first_again=False,
        faults=_refuse_both(begin, 36),
        stops=[
            Stop('endpoints', tuple(range(sum(size.engines))), begin, seconds)
        ],
        kills=[Kill('entries', everyone, begin + seconds - 1)],
    )


def _refuse_both(begin, end):
    return [Fault('refuse', name, begin, end) for name in ('desk', 'model')]


DRAWS = {
    'mixed': draw_scenario,
    'starts': draw_starts,
    'kills': draw_kills,
    'stops': draw_stops,
    'silences': draw_silences,
}
