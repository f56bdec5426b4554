"""One request under which back ends end, at fleets of three sizes.

Load pattern: the same request comes at all entries, some times a second, beside
sound calls; back ends end under it in several ways, and for other reasons.
"""

import asyncio
import unittest

from .crashfleet import BAD_CONTENT, PLAIN, STREAMS, CrashFleet, Form
from .virtualtime import run_virtual

_SCALES = ((5, 9, 1.5, 20), (26, 24, 3, 40), (330, 60, 6, 120))
_SECONDS = 16
_MAX_LATE_SECONDS = 1.0
# One in so many sound calls may be refused.
_SOUND_PER_REFUSED = 200


class EndingRequestFleetTest(unittest.TestCase):
    """5, 26 and 330 entries; the third end bounds the sends."""

    def assert_contained(self, form, disturb=None, scales=_SCALES):
        for scale in scales:
            with self.subTest(scale):
                run_virtual(self.play(scale, form, disturb))

    async def play(self, scale, form, disturb):
        entries, engines, harmful, sound = scale
        fleet = CrashFleet(entries, engines, 1, form)
        try:
            await fleet.run_callers(4, 0, sound)
            if disturb is not None:
                fleet.spawn(disturb(fleet))
            await fleet.run_callers(_SECONDS, harmful, sound)
            self.assertGreaterEqual(len(fleet.crashes), 3)
            late = fleet.late_sends(3, _MAX_LATE_SECONDS)
            self.assertEqual([], late, sorted(fleet.crashes)[:6])
        finally:
            await fleet.close()

    def test_before_head(self):
        """Guards against connections that break before an answer begins."""
        self.assert_contained(Form((BAD_CONTENT,), None))

    def test_after_events(self):
        """Guards against streams that end their engines midway."""
        self.assert_contained(Form((BAD_CONTENT,), 3))

    def test_plain_service(self):
        """Guards against look-ups that are sent on from end to end."""
        self.assert_contained(PLAIN)

    def test_plain_service_while_the_store_is_away(self):
        """Guards against ends that only the key-value service tells."""

        async def disturb(fleet):
            fleet.store_available = False

        self.assert_contained(PLAIN, disturb)

    def test_plain_service_while_entries_restart(self):
        """Guards against ends that are forgotten as entries restart."""

        async def disturb(fleet):
            for _ in range(3):
                await asyncio.sleep(3)
                await fleet.restart(fleet.entries[::2])

        self.assert_contained(PLAIN, disturb)


class SoundRequestTest(unittest.TestCase):
    """Back ends end for other reasons; callers repeat calls that fail."""

    def assert_served(self, disturb, form=STREAMS, contents=10_000):
        for entries, engines, _harmful, sound in _SCALES[:2]:
            with self.subTest(entries=entries):
                run_virtual(
                    self.play(entries, engines, sound, disturb, form, contents)
                )

    async def play(self, entries, engines, sound, disturb, form, contents):
        fleet = CrashFleet(entries, engines, 1, form)
        fleet.repeats = True
        fleet.contents = contents
        try:
            fleet.spawn(disturb(fleet))
            await fleet.run_callers(40, 0, sound)
            refused = sum(
                fleet.refusals[kind]
                for kind in fleet.refusals
                if kind.value == 'crashes_endpoints'
            )
            answered = len(fleet.answered)
            self.assertGreater(answered, 400)
            self.assertLessEqual(refused * _SOUND_PER_REFUSED, answered)
        finally:
            await fleet.close()

    async def crash_often(self, fleet):
        while True:
            await asyncio.sleep(0.8)
            engine = fleet.random.choice(list(fleet.engines.values()))
            fleet.crash(engine)

    async def lose_domains(self, fleet):
        while True:
            await asyncio.sleep(4)
            domain = fleet.random.choice(('d0', 'd1', 'd2'))
            for engine in list(fleet.engines.values()):
                if engine.record.failure_domain == domain:
                    fleet.crash(engine)

    async def lose_all(self, fleet):
        while True:
            await asyncio.sleep(6)
            for engine in list(fleet.engines.values()):
                fleet.crash(engine)

    def test_ordinary_ends(self):
        """Guards against popular calls blamed for ends at random."""
        self.assert_served(self.crash_often)

    def test_domains_are_lost(self):
        """Guards against calls blamed that were under way in a domain."""
        self.assert_served(self.lose_domains)

    def test_all_are_lost(self):
        """Guards against all calls refused after a loss of power."""
        self.assert_served(self.lose_all)

    def test_few_different_calls(self):
        """Guards against a hot request that is always under way somewhere."""
        self.assert_served(self.crash_often, contents=5)
        self.assert_served(self.lose_domains, contents=5)

    def test_plain_calls(self):
        """Guards against plain calls whose servers end at random."""
        self.assert_served(self.crash_often, PLAIN, contents=40)


if __name__ == '__main__':
    unittest.main()
