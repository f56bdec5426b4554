"""Evidence on whether the engines of a new version are worse than the others.

Failures are judged by a sequential probability ratio test, which may be
evaluated after each answer, and paces by the means of their logarithms. Both
compare a new version with the version in force at the same time and on the same
route, as routes differ in how often their answers fail and how long they take.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import log, log1p, sqrt
from types import MappingProxyType

from . import gen_wire as wire

__all__ = (
    'Evidence',
    'RecentEvidence',
    'Tallies',
    'Tally',
    'find_fault',
    'is_suspicious',
)

# Evidence that a version is bad, as a log likelihood ratio. A good version is
# rolled back more often than this share tells, as the test is repeated and one
# of its engines may be faulty. Lower ratios make a version suspicious.
_MAX_FALSE_SHARE = 0.0001
_SUSPICIOUS_SHARE = 0.05
_SUSPICIOUS_RATIO = -log(_SUSPICIOUS_SHARE)
_CONVINCING_RATIO = -log(_MAX_FALSE_SHARE)
# Failure rate of a bad version, from that of the version in force.
_BAD_RATE_FACTOR = 3
_BAD_RATE_EXTRA = 0.1
_MAX_BAD_RATE = 0.9
# Answers and failures that are assumed before any was seen.
_PRIOR_CALLS = 20
_PRIOR_FAILURES = 0.4
# A bad version is several times slower; differences below this are ordinary.
_SLOW_FACTOR = 1.8
_SLOW_RATIO = log(_SLOW_FACTOR)
_SLOW_DEVIATIONS = 4
_MIN_PACES = 6
# Standard deviation of the logarithm of paces that is assumed at least.
_MIN_DEVIATION = 0.3
# An engine with more than this share of the unusual failures, and this many
# times its share of the calls, may be faulty by itself.  A failure domain with
# more than that share may be lost.
_MOST_SHARE = 0.3
_MOST_CALLS_FACTOR = 1.5
_MOST_DOMAIN_SHARE = 0.7
# Outcomes are judged as a whole and over the last few seconds, since a version
# may turn bad after many good answers.
_RECENT_SECONDS = 3.0
# Snapshots of other entries count for this long.
_SNAPSHOT_SECONDS = 30.0

_NO_DOMAINS: Mapping[str, str] = MappingProxyType({})

_Key = tuple[str, str, bool]
Tallies = dict[_Key, 'Tally']


@dataclass(slots=True)
class Tally:
    """Outcomes of calls.

    Attributes
    ----------
    paces
        Answers with a known pace.
    pace_sum, pace_squares
        Sums of the logarithms of their paces, and of the squares of these.
    """

    calls: int = 0
    failures: int = 0
    paces: int = 0
    pace_sum: float = 0
    pace_squares: float = 0

    def record(self, failed: bool, pace: float) -> None:
        """Add an outcome; a pace of 0 means that none is known."""
        self.calls += 1
        self.failures += failed
        if pace > 0:
            logarithm = log(pace)
            self.paces += 1
            self.pace_sum += logarithm
            self.pace_squares += logarithm**2

    def minus(self, earlier: 'Tally') -> 'Tally':
        """Return the outcomes since an earlier state of this tally."""
        return Tally(
            self.calls - earlier.calls,
            self.failures - earlier.failures,
            self.paces - earlier.paces,
            self.pace_sum - earlier.pace_sum,
            self.pace_squares - earlier.pace_squares,
        )

    def add(self, other: 'Tally') -> None:
        """Add the outcomes of another tally."""
        self.calls += other.calls
        self.failures += other.failures
        self.paces += other.paces
        self.pace_sum += other.pace_sum
        self.pace_squares += other.pace_squares


class Evidence:
    """Outcomes by route and engine, of this entry and of the others."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._own: Tallies = {}
        self._others: dict[str, tuple[float, Tallies]] = {}
        self._unsent: set[_Key] = set()

    def record(
        self, route: str, engine: str, is_new: bool, failed: bool, pace: float
    ) -> None:
        """Add the outcome of a call of this entry.

        Parameters
        ----------
        engine
            Name of the engine that got the call.
        is_new
            Whether the engine has the new version.
        pace
            Seconds by which answers on the route are compared, 0 if unknown.
        """
        # Engines in force are not told apart, as only their sums matter.
        key = (route, engine if is_new else '', is_new)
        self._own.setdefault(key, Tally()).record(failed, pace)
        self._unsent.add(key)

    def take_unsent(self) -> list[wire.RolloutTally]:
        """Return the tallies that changed since the last call."""
        unsent, self._unsent = self._unsent, set()
        return [_encode(key, self._own[key]) for key in sorted(unsent)]

    def merge(
        self, sender: str, tallies: Iterable[wire.RolloutTally], now: float
    ) -> None:
        """Replace tallies of another entry by its newer ones."""
        _seen_at, known = self._others.get(sender, (now, {}))
        for tally in tallies:
            key = (tally.route, tally.engine, tally.is_new)
            known[key] = _decode(tally)
        self._others[sender] = (now, known)

    def sum(self, now: float) -> Tallies:
        """Return the tallies of all entries together."""
        total: Tallies = {}
        for tallies in (self._own, *self._list_recent(now)):
            for key, tally in tallies.items():
                total.setdefault(key, Tally()).add(tally)
        return total

    def _list_recent(self, now: float) -> list[Tallies]:
        return [
            tallies
            for seen_at, tallies in self._others.values()
            if now < seen_at + _SNAPSHOT_SECONDS
        ]


class RecentEvidence:
    """Sums of the last few seconds, from sums that only grow."""

    def __init__(self) -> None:
        """Start without sums."""
        self._sums: deque[tuple[float, Tallies]] = deque()

    def update(self, total: Tallies, now: float) -> Tallies:
        """Add the current sums; return those of the last few seconds.

        Sums of the version in force are returned whole: it may get no calls
        any more.
        """
        self._sums.append((now, total))
        while self._sums[0][0] < now - _RECENT_SECONDS:
            self._sums.popleft()
        earliest = self._sums[0][1]
        recent = {}
        for key, tally in total.items():
            _route, _engine, is_new = key
            earlier = earliest.get(key, Tally()) if is_new else Tally()
            recent[key] = tally.minus(earlier)
        return recent


def find_fault(
    tallies: Tallies, domains: Mapping[str, str] = _NO_DOMAINS
) -> str:
    """Return why the new version is bad, empty if nothing shows that it is.

    One engine of the new version may be faulty by itself, and a failure domain
    may be lost with the engines of both versions, so the outcomes of the worst
    of either are left out if they have most of the failures.

    Parameters
    ----------
    domains
        Failure domains of engines, by their names.
    """
    compared = _compare_routes(tallies, domains)
    for route, pair in compared.items():
        if _failure_ratio(*pair) > _CONVINCING_RATIO:
            return f'{pair[0].failures} of {pair[0].calls} failed on {route}'
        if _is_slower(*pair):
            return f'{pair[0].paces} answers were slow on {route}'
    if _sum_ratios(compared) > _CONVINCING_RATIO:
        return 'answers failed on all routes together'
    return ''


def is_suspicious(
    tallies: Tallies, domains: Mapping[str, str] = _NO_DOMAINS
) -> bool:
    """Return whether a new version should be tried for longer."""
    compared = _compare_routes(tallies, domains)
    ratios = [_failure_ratio(*pair) for pair in compared.values()]
    return max((*ratios, _sum_ratios(compared))) > _SUSPICIOUS_RATIO


def _compare_routes(
    tallies: Tallies, domains: Mapping[str, str]
) -> dict[str, tuple[Tally, Tally]]:
    """Return the new and the old outcomes of each route with new ones."""
    left_out = _find_left_out(tallies, domains)
    compared: dict[str, tuple[Tally, Tally]] = {}
    for key, tally in tallies.items():
        route, engine, is_new = key
        if is_new and engine not in left_out:
            old = tallies.get((route, '', False), Tally())
            compared.setdefault(route, (Tally(), old))[0].add(tally)
    return compared


def _find_left_out(tallies: Tallies, domains: Mapping[str, str]) -> set[str]:
    """Return the worst engine and those of the worst failure domain."""
    excess = _count_excess(tallies)
    by_domain: Counter[str] = Counter()
    for name, failures in excess.items():
        by_domain[domains.get(name, '')] += failures
    worst = _find_worst(excess, _find_least_share(tallies, excess))
    worst_domain = _find_worst(by_domain, _MOST_DOMAIN_SHARE)
    return {
        engine
        for engine in excess
        if engine == worst or domains.get(engine, '') == worst_domain
    }


def _find_least_share(tallies: Tallies, excess: Counter[str]) -> float:
    """Return the share of failures above which the worst engine is left out.

    Among few engines the worst one of a bad version has a large share by
    chance; without it, the others look better than the version is.
    """
    if not excess:
        return _MOST_SHARE
    calls: Counter[str] = Counter()
    for (_route, engine, is_new), tally in tallies.items():
        calls[engine] += tally.calls * is_new
    worst = excess.most_common(1)[0][0]
    share_of_calls = calls[worst] / max(1, calls.total())
    return max(_MOST_SHARE, _MOST_CALLS_FACTOR * share_of_calls)


def _count_excess(tallies: Tallies) -> Counter[str]:
    """Return the unusual failures of each new engine.

    Failures are unusual beyond those that the version in force would have had.
    """
    excess: Counter[str] = Counter()
    for (route, engine, is_new), tally in tallies.items():
        if is_new:
            old = tallies.get((route, '', False), Tally())
            excess[engine] += tally.failures - _usual_rate(old) * tally.calls
    return excess


def _find_worst(excess: Counter[str], min_share: float) -> str | None:
    """Return who has more than a share of the failures, None for nobody."""
    if len(excess) < 2:
        return None
    worst, most = excess.most_common(1)[0]
    total = sum(failures for failures in excess.values() if failures > 0)
    return worst if most > min_share * total else None


def _usual_rate(old: Tally) -> float:
    return (old.failures + _PRIOR_FAILURES) / (old.calls + _PRIOR_CALLS)


def _sum_ratios(compared: dict[str, tuple[Tally, Tally]]) -> float:
    return sum(_failure_ratio(*pair) for pair in compared.values())


def _failure_ratio(new: Tally, old: Tally) -> float:
    """Return the log likelihood ratio of a bad version to a good one."""
    usual = _usual_rate(old)
    bad = min(_MAX_BAD_RATE, _BAD_RATE_FACTOR * usual + _BAD_RATE_EXTRA)
    if bad <= usual:
        return 0
    from_failures = new.failures * log(bad / usual)
    from_successes = (new.calls - new.failures) * log1p(-bad)
    from_successes -= (new.calls - new.failures) * log1p(-usual)
    return from_failures + from_successes


def _is_slower(new: Tally, old: Tally) -> bool:
    if min(new.paces, old.paces) < _MIN_PACES:
        return False
    difference = _mean(new) - _mean(old)
    error = sqrt(_squared_error(new) + _squared_error(old))
    return difference > _SLOW_RATIO + _SLOW_DEVIATIONS * error


def _mean(tally: Tally) -> float:
    return tally.pace_sum / tally.paces


def _squared_error(tally: Tally) -> float:
    """Return the square of the standard error of a tally's mean."""
    variance = tally.pace_squares / tally.paces - _mean(tally) ** 2
    return max(_MIN_DEVIATION**2, variance) / tally.paces


def _encode(key: _Key, tally: Tally) -> wire.RolloutTally:
    route, engine, is_new = key
    return wire.RolloutTally(
        route=route,
        engine=engine,
        is_new=is_new,
        calls=tally.calls,
        failures=tally.failures,
        paces=tally.paces,
        pace_sum=tally.pace_sum,
        pace_squares=tally.pace_squares,
    )


def _decode(tally: wire.RolloutTally) -> Tally:
    return Tally(
        tally.calls,
        tally.failures,
        tally.paces,
        tally.pace_sum,
        tally.pace_squares,
    )
