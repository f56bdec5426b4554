"""The limit on retries, which holds for the sum over all entries.

Load pattern: the back ends of a service refuse nearly all calls, and entries are
killed, restarted, replaced or cut off meanwhile, with the key-value service slow,
away or empty.
"""

import random
import unittest
from bisect import bisect_left
from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest import mock

from primrosewood import gen_wire as wire
from primrosewood.callprogress import CallProgress
from primrosewood.callretries import CallRetries
from primrosewood.entrycount import EntryCount
from primrosewood.repeatbudget import RepeatRule
from primrosewood.retrybudgets import RetryBudgets
from primrosewood.retryhistory import RetryArchive, RetryHistory

from .virtualtime import ManualClock

_WINDOW_SECONDS = 10
_RULE = RepeatRule(ratio=0.2, slack=92, window=_WINDOW_SECONDS)
_STEP_SECONDS = 0.05
_RUN_SECONDS = 40.0
_BUSY_RUN_SECONDS = 28.0
_RESTART_SECONDS = 0.7
_REPORT_STEPS = 10
_REQUESTS_PER_SECOND_AND_ENTRY = 1.2
_BUSY_REQUESTS_PER_SECOND_AND_ENTRY = 6
_REFUSED_SHARE = 0.9
_MAX_RETRIES = 3
# Between the decision to send a call again and its arrival.
_MAX_TRAVEL_SECONDS = 0.4
_RESUMED_SHARE = 0.3
_ARCHIVES = 9
_COPIES = 3
_SERVICE = 'model'


def _log_nothing(_event, **_fields):
    """Replace the log, as a line for each decision takes most of the time."""


class SimulatedEntry:
    """An entry that keeps its share of the limit in memory."""

    def __init__(self, number, clock, tell, random_source, is_kept):
        self.number = number
        self._is_kept = is_kept
        self.generation = 0
        self.alive_from = 0.0
        self.link_delay = 0.0
        self._clock = clock
        self._tell = tell
        self._random = random_source
        self.start(clock.now, 0.0)

    @property
    def name(self):
        return f'entry-{self.number}-{self.generation}'

    def start(self, at, link_delay, name_changes=False):
        """Start a process at a time, which remembers nothing."""
        self.generation += name_changes
        self.alive_from = at
        self.link_delay = link_delay
        self.linked = False
        self.count = EntryCount.assume(8)
        self.history = RetryHistory(
            SimpleNamespace(monotonic=lambda: max(at, self._clock.now)),
            _RULE.retry_seconds,
        )
        self.budgets = RetryBudgets(
            _RULE,
            self.count,
            at,
            self._random,
            self.history,
            lambda record: self._tell(self, record),
            self._is_kept,
        )

    def is_alive(self, now):
        return now >= self.alive_from

    def connects(self, now):
        return not self.linked and now >= self.alive_from + self.link_delay

    def open_links(self, archives):
        self.linked = True
        for archive in archives:
            self.history.merge(archive.recall(self.name))

    def hear_report(self, entries, now):
        self.count.update(entries, now)


@dataclass
class Disruptions:
    """What happens to entries, back ends and the key-value service.

    Attributes
    ----------
    kills
        Numbers of the entries that are killed, by time.
    replaced
        Whether an entry of another name starts in place of one killed.
    cut_from, cut_until
        When a third of the entries and processes beside engines is cut off.
    refused_from
        When back ends begin to refuse calls.
    peaks
        Times at which a peak of requests of two seconds begins.
    store_delay
        Seconds from the start of an entry until it has read the number of
        entries; infinite if the service is away.
    store_forgets
        Whether the number is gone when an entry starts.
    archives_lost_at
        When all processes beside engines are restarted.
    start_gap
        Seconds from the start of one entry to the next.
    archives_silent
        From and until when processes beside engines are stopped.
    """

    kills: dict = field(default_factory=dict)
    replaced: bool = False
    cut_from: float = _RUN_SECONDS
    cut_until: float = _RUN_SECONDS
    refused_from: float = 0.0
    request_rate: float = _REQUESTS_PER_SECOND_AND_ENTRY
    peaks: tuple = ()
    store_delay: float = 0.0
    store_forgets: bool = False
    archives_lost_at: float = _RUN_SECONDS
    start_gap: float = 0.0
    archives_silent: tuple = (_RUN_SECONDS, _RUN_SECONDS)
    until: float = _RUN_SECONDS

    def side(self, number, now):
        cut = self.cut_from <= now < self.cut_until
        return number % 3 == 0 and cut

    def rate(self, now):
        peak = any(at <= now < at + 2 for at in self.peaks)
        if self.peaks and not peak:
            return 0
        return self.request_rate


class RetrySimulation:
    """Entries before back ends that refuse nearly all calls."""

    def __init__(self, entries, disruptions, seed):
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._clock.now = 0.0
        self._disruptions = disruptions
        self._archives = self._make_archives()
        self._entries = [
            SimulatedEntry(
                number,
                self._clock,
                self._tell,
                self._random,
                lambda: not self._are_archives_silent(),
            )
            for number in range(entries)
        ]
        self._start_in_turn()
        self._kills = sorted(
            (at, number)
            for at, numbers in disruptions.kills.items()
            for number in numbers
        )
        self._stored_count = 0
        self.requests = []
        self.retries = []

    def _start_in_turn(self):
        gap = self._disruptions.start_gap
        if gap:
            for number, entry in enumerate(self._entries):
                entry.start(number * gap, 0.1)

    def run(self):
        for step in range(int(self._disruptions.until / _STEP_SECONDS)):
            now = self._clock.now = step * _STEP_SECONDS
            if now >= self._disruptions.archives_lost_at:
                self._disruptions.archives_lost_at = _RUN_SECONDS
                self._archives = self._make_archives()
            self._kill(now)
            self._open_links(now)
            if step % _REPORT_STEPS == 0:
                self._report(now)
            self._send_requests(now)

    def find_excess(self):
        """Return the most retries above the limit in any window."""
        return max(
            (retries - allowed for retries, allowed in self._count_windows()),
            default=0,
        )

    def find_used_share(self):
        """Return which part of the limit the busiest window used."""
        return max(
            (retries / allowed for retries, allowed in self._count_windows()),
            default=0,
        )

    def _count_windows(self):
        self.retries.sort()
        for start in {*self.retries}:
            allowed = _RULE.slack + _RULE.ratio * max(
                self._count(self.requests, start - before)
                for before in (0, _WINDOW_SECONDS / 2, _WINDOW_SECONDS)
            )
            yield self._count(self.retries, start), allowed

    def _count(self, times, start):
        end = bisect_left(times, start + _WINDOW_SECONDS)
        return end - bisect_left(times, start)

    def _make_archives(self):
        return [RetryArchive(self._clock) for _ in range(_ARCHIVES)]

    def _are_archives_silent(self):
        begin, end = self._disruptions.archives_silent
        return begin <= self._clock.now < end

    def _reachable_archives(self, entry):
        side = self._disruptions.side(entry.number, self._clock.now)
        return [
            archive
            for number, archive in enumerate(self._archives)
            if self._disruptions.side(number, self._clock.now) == side
        ]

    def _tell(self, entry, record):
        if not entry.linked or self._are_archives_silent():
            return
        reachable = self._reachable_archives(entry)
        for archive in self._random.sample(reachable, _COPIES):
            archive.record(wire.RetryReport(entry.name, record))

    def _kill(self, now):
        while self._kills and self._kills[0][0] <= now:
            _at, number = self._kills.pop(0)
            self._entries[number].start(
                now + _RESTART_SECONDS,
                self._random.uniform(0.05, 0.5),
                name_changes=self._disruptions.replaced,
            )

    def _open_links(self, now):
        if self._are_archives_silent():
            return
        for entry in self._entries:
            if entry.connects(now):
                entry.open_links(self._reachable_archives(entry))

    def _report(self, now):
        """Engines tell the entries connected to them how many these are."""
        if self._are_archives_silent():
            return
        sides = {False: [], True: []}
        for entry in self._entries:
            if entry.linked and entry.is_alive(now):
                sides[self._disruptions.side(entry.number, now)].append(entry)
        for linked in sides.values():
            for entry in linked:
                entry.hear_report(len(linked), now)
        reported = max(each.count.most_reported for each in self._entries)
        self._stored_count = max(self._stored_count, reported)
        for entry in self._entries:
            read_at = entry.alive_from + self._disruptions.store_delay
            if now >= read_at and not self._disruptions.store_forgets:
                entry.count.restore(self._stored_count)

    def _send_requests(self, now):
        alive = [each for each in self._entries if each.is_alive(now)]
        if not alive:
            return
        rate = self._disruptions.rate(now) * len(self._entries)
        number = int(rate * _STEP_SECONDS + self._random.random())
        for _ in range(number):
            self._send_request(self._random.choice(alive), now)

    def _send_request(self, entry, now):
        self.requests.append(now)
        entry.budgets.record_request(_SERVICE, now)
        if now < self._disruptions.refused_from:
            return
        call = SimpleNamespace(name='call', service=_SERVICE)
        for _ in range(_MAX_RETRIES):
            if self._random.random() > _REFUSED_SHARE:
                return
            resumes = self._random.random() < _RESUMED_SHARE
            if not entry.budgets.spend(call, now, resumes):
                return
            travel = self._random.uniform(0, _MAX_TRAVEL_SECONDS)
            self.retries.append(now + travel)


class StoppedBackendsSimulation(RetrySimulation):
    """Back ends of which a third stop reading, and then refuse calls.

    They read what was sent to them meanwhile as they go on.
    """

    begin = 14.0
    seconds = 8.0

    def __init__(self, *arguments):
        self._backends = [
            SimpleNamespace(
                name=f'b{number}',
                stops=number % 3 == 0,
                record=SimpleNamespace(service=_SERVICE),
            )
            for number in range(9)
        ]
        self._given_up = []
        self._arrivals = []
        super().__init__(*arguments)

    @property
    def _end(self):
        return self.begin + self.seconds

    def run(self):
        super().run()
        for arrivals in self._arrivals:
            self.retries += sorted(arrivals)[1:]

    def _send_requests(self, now):
        due = [row for row in self._given_up if row[0] <= now]
        self._given_up = [row for row in self._given_up if row[0] > now]
        for _at, call, backend, sent_at in due:
            # The calls of an entry that was killed meanwhile are gone.
            if call.entry.alive_from <= sent_at:
                call.retries.record_unread(call.progress, backend, sent_at)
                self._retry(call, now)
        super()._send_requests(now)

    def _send_request(self, entry, now):
        self.requests.append(now)
        entry.budgets.record_request(_SERVICE, now)
        call = SimpleNamespace(
            entry=entry,
            retries=CallRetries(entry.budgets, lambda: self._clock.now),
            progress=CallProgress(
                SimpleNamespace(name='call', service=_SERVICE)
            ),
            arrivals=[],
        )
        self._arrivals.append(call.arrivals)
        self._send(call, now)

    def _retry(self, call, now):
        if call.progress.retries < _MAX_RETRIES and call.retries.take(
            call.progress
        ):
            self._send(call, now)

    def _send(self, call, now):
        backend = self._random.choice(self._backends)
        if backend.stops and self.begin <= now < self._end:
            call.arrivals.append(self._end + self._random.uniform(0, 0.2))
            self._given_up.append((now + 1, call, backend, now))
            return
        call.arrivals.append(now + self._random.uniform(0, 0.05))
        call.retries.record_answer(backend, now)
        if now >= self._end and self._random.random() < _REFUSED_SHARE:
            self._retry(call, now)


def kill_at_onset(everyone, **fields):
    """Return a kill of all, soon after back ends begin to refuse calls."""
    return Disruptions(
        {16.0: everyone},
        refused_from=14.5,
        request_rate=_BUSY_REQUESTS_PER_SECOND_AND_ENTRY,
        until=_BUSY_RUN_SECONDS,
        **fields,
    )


class RetryLimitTest(unittest.TestCase):
    """Retries of 5, 26 and 330 entries in any window of the limit."""

    def setUp(self):
        for module in ('retrybudgets', 'retryhistory'):
            silenced = mock.patch(
                f'primrosewood.{module}.log_decision', _log_nothing
            )
            silenced.start()
            self.addCleanup(silenced.stop)

    def assert_within_limit(self, make_disruptions, kind=RetrySimulation):
        for entries in (5, 26, 330):
            for seed in range(3):
                simulation = kind(
                    entries, make_disruptions(range(entries)), seed
                )
                simulation.run()
                with self.subTest(entries=entries, seed=seed):
                    self.assertLessEqual(simulation.find_excess(), 0)

    def test_calm_entries(self):
        self.assert_within_limit(lambda _all: Disruptions())

    def test_entries_killed_together(self):
        """Guards against a whole share for each start of each entry."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {16.0: everyone, 18.5: everyone, 21.0: everyone}
            )
        )

    def test_entries_killed_soon_after_back_ends_begin_to_refuse(self):
        """Guards against retries for requests that were used up before."""
        self.assert_within_limit(kill_at_onset)

    def test_entries_replaced_soon_after_back_ends_begin_to_refuse(self):
        """Guards against a whole share for VMs that take the place of others."""
        self.assert_within_limit(
            lambda everyone: kill_at_onset(everyone, replaced=True)
        )

    def test_all_processes_lose_power(self):
        """Guards against a whole share where nobody kept what was used."""
        self.assert_within_limit(
            lambda everyone: kill_at_onset(everyone, archives_lost_at=16.0)
        )

    def test_entries_restarted_in_turn(self):
        """Guards against new shares beside those that are spent."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {14.0 + number * 0.05: [number] for number in everyone}
            )
        )

    def test_entries_killed_while_a_third_is_cut_off(self):
        """Guards against shares of the few entries on one side of a cut."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {12.0: everyone}, cut_from=11.0, cut_until=35.0
            )
        )

    def test_entries_cut_off(self):
        """Guards against shares that grow as the other entries vanish."""
        self.assert_within_limit(
            lambda _all: Disruptions(cut_from=12.0, cut_until=35.0)
        )

    def test_key_value_service_is_slow(self):
        """Guards against a guessed share until the number is read."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {16.0: everyone, 18.5: everyone}, store_delay=3.0
            )
        )

    def test_key_value_service_is_away(self):
        """Guards against a share of the few entries that are connected yet."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {12.0: everyone},
                cut_from=11.0,
                cut_until=39.0,
                store_delay=_RUN_SECONDS,
            )
        )

    def test_key_value_service_forgets(self):
        """Guards against a whole share where the number is gone."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {12.0: everyone, 14.5: everyone},
                cut_from=11.0,
                cut_until=39.0,
                store_forgets=True,
            )
        )

    def test_number_of_entries_is_never_stored(self):
        """Guards against shares of a number that misses those cut off."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {16.0: everyone, 18.5: everyone, 21.0: everyone},
                cut_from=11.0,
                cut_until=39.0,
                store_forgets=True,
            )
        )

    def test_number_of_entries_is_read_late_at_the_start(self):
        """Guards against shares of the few entries that are connected yet."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {4.0 + number * 0.05: [number] for number in everyone},
                store_delay=12.0,
            )
        )

    def test_entries_start_one_after_the_other(self):
        """Guards against shares of the few entries that have started yet."""
        for gap in (0.05, 0.5, 1.5):
            self.assert_within_limit(
                lambda everyone, gap=gap: Disruptions(
                    start_gap=min(gap, 25 / len(everyone))
                )
            )

    def test_entries_killed_as_their_deployment_starts(self):
        """Guards against a whole share for each start of a new deployment."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {2.0 + 2.5 * number: everyone for number in range(6)},
            )
        )

    def test_back_ends_stop_reading(self):
        """Guards against retries that arrive when a back end goes on."""
        for seconds in (3.0, 5.0, 8.0):
            kind = type(
                'StoppedBackends',
                (StoppedBackendsSimulation,),
                {'seconds': seconds},
            )
            self.assert_within_limit(
                lambda _all: Disruptions(request_rate=4, until=36.0), kind
            )

    def test_entries_killed_while_nobody_keeps_their_retries(self):
        """Guards against retries that no process beside an engine heard of."""
        for seconds in (3.0, 6.0, 9.0):
            self.assert_within_limit(
                lambda everyone, seconds=seconds: Disruptions(
                    {14.0 + seconds: everyone},
                    refused_from=14.0,
                    archives_silent=(14.0, 15.0 + seconds),
                    request_rate=_BUSY_REQUESTS_PER_SECOND_AND_ENTRY,
                    until=_BUSY_RUN_SECONDS,
                )
            )

    def test_entries_killed_before_back_ends_go_on(self):
        """Guards against late arrivals that are forgotten with a process."""
        self.assert_within_limit(
            lambda everyone: Disruptions(
                {21.0: everyone}, request_rate=4, until=36.0
            ),
            StoppedBackendsSimulation,
        )

    def test_requests_in_two_peaks(self):
        """Guards against retries for requests of two windows of the limit."""
        self.assert_within_limit(
            lambda _all: Disruptions(
                refused_from=19.0,
                peaks=(12.5, 19.5),
                request_rate=_BUSY_REQUESTS_PER_SECOND_AND_ENTRY * 5,
                until=_BUSY_RUN_SECONDS,
            )
        )


if __name__ == '__main__':
    unittest.main()
