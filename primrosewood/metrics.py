"""Counters, gauges and duration histograms of a process.

They are exposed in the text format of Prometheus.
"""

from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily, SummaryMetricFamily

__all__ = ('DurationHistogram', 'Metrics')

_MIN_MICROSECONDS = 1
_MAX_MICROSECONDS = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_MICROSECONDS_PER_SECOND = 1_000_000
_EXPOSED_PERCENTILES = (50, 95, 99, 99.9)


class DurationHistogram:
    """Histogram of durations; its size does not grow with their number."""

    def __init__(self) -> None:
        """Start with an empty histogram."""
        self._histogram = HdrHistogram(
            _MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
        )
        self._total_seconds = 0.0

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return self._histogram.get_total_count()

    @property
    def total(self) -> float:
        """Sum of the recorded durations in seconds."""
        return self._total_seconds

    def record(self, seconds: float) -> None:
        """Record a duration."""
        self._total_seconds += seconds
        self._histogram.record_value(
            max(1, int(seconds * _MICROSECONDS_PER_SECOND))
        )

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds, 0 when nothing was recorded."""
        microseconds = self._histogram.get_value_at_percentile(percent)
        return microseconds / _MICROSECONDS_PER_SECOND


class Metrics:
    """All metrics of one process.

    Counters and histograms are created on first use, so that a module need not
    declare them.
    """

    def __init__(self) -> None:
        """Start with an empty registry."""
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, DurationHistogram] = {}
        self._gauge_readers: dict[str, Callable[[], float]] = {}
        self._registry.register(self)

    def count(self, name: str, reason: str = '', amount: float = 1) -> None:
        """Add to the counter ``primrosewood_{name}``.

        Parameters
        ----------
        name
            Name of the counter without its prefix.
        reason
            Value of the label ``reason``.
        amount
            Increment of the counter.
        """
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                f'primrosewood_{name}',
                name,
                ['reason'],
                registry=self._registry,
            )
            self._counters[name] = counter
        counter.labels(reason).inc(amount)

    def record(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram ``name``."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms.setdefault(name, DurationHistogram())
        histogram.record(seconds)

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` returns its value at each exposition."""
        self._gauge_readers[name] = read

    def collect(self) -> Iterator[SummaryMetricFamily | GaugeMetricFamily]:
        """Yield gauges and histograms; the registry calls this method."""
        for name, read in self._gauge_readers.items():
            yield GaugeMetricFamily(f'primrosewood_{name}', name, value=read())
        for name, histogram in self._histograms.items():
            yield from _collect_histogram(name, histogram)

    def expose(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)


def _collect_histogram(
    name: str, histogram: DurationHistogram
) -> Iterator[GaugeMetricFamily]:
    family = GaugeMetricFamily(
        f'primrosewood_{name}_seconds', name, labels=['percentile']
    )
    for percentile in _EXPOSED_PERCENTILES:
        family.add_metric([str(percentile)], histogram.percentile(percentile))
    yield family
    yield SummaryMetricFamily(
        f'primrosewood_{name}_duration_seconds',
        name,
        count_value=histogram.count,
        sum_value=histogram.total,
    )
