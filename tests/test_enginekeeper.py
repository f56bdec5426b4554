"""The process beside an engine, with an engine that is scripted."""

import asyncio
import unittest
from random import Random
from unittest import mock

from primrosewood import gen_wire as wire
from primrosewood.backendset import EngineState
from primrosewood.clock import SystemClock
from primrosewood.enginekeeper import EngineKeeper
from primrosewood.errors import BackendCutError, ErrorKind, NotRunError
from primrosewood.metrics import Metrics
from primrosewood.movableengine import EngineLocation, EngineReading
from primrosewood.moves import EngineRun

ROOM = wire.RoomTold([wire.EngineRoom('b:1', 'd1', 20_000)])
NO_ROOM = wire.RoomTold([])


class FakeServer:
    """Keeps what entries would hear, and answers questions for room."""

    def __init__(self):
        self.told = []
        self.answers = []
        self.keeper = None
        self.peers = 2
        self.sent = []

    def send_to(self, peer, message):
        self.sent.append((peer, message))

    def broadcast(self, message, but=None):
        self.told.append(message)
        if isinstance(message, wire.RoomAsk):
            for answer in self.answers:
                self.keeper.handle(answer, None)

    def send_to_some(self, message, most, but=None):
        self.broadcast(message)

    def moves(self):
        return [
            (each.attempt, each.target)
            for each in self.told
            if isinstance(each, wire.RunMoved)
        ]


class FakeEngine:
    """An engine with some runs."""

    address = 'a:1'

    def __init__(self, *runs):
        self.runs = list(runs)
        self.leaving = False
        self.gone = False
        self.copies = []
        self.failures = []

    async def read(self):
        if self.gone:
            raise BackendCutError('gone')
        state = EngineState(total_tokens=30_000, leaving=self.leaving)
        leaves_in = 2.0 if self.leaving else None
        return EngineReading(state, tuple(self.runs), leaves_in)

    async def identify(self):
        return 'i-a'

    async def copy(self, run, target, last):
        if self.failures:
            raise self.failures.pop(0)
        self.copies.append((run.name, target, last))
        if last:
            self.runs.remove(run)
        return f'copy-{run.name}'


class EngineKeeperTest(unittest.IsolatedAsyncioTestCase):
    """What it tells, and what it moves."""

    async def asyncSetUp(self):
        patched = mock.patch('primrosewood.enginekeeper._NAME_SECONDS', 0.02)
        patched.start()
        self.addCleanup(patched.stop)
        self.engine = FakeEngine(
            EngineRun('big', 4000, 50), EngineRun('small', 2000, 9)
        )
        self.server = FakeServer()
        self.keeper = EngineKeeper(
            self.engine,
            EngineLocation('s', 'd1'),
            SystemClock(),
            Metrics(),
            Random(1),
        )
        self.keeper.server = self.server
        self.server.keeper = self.keeper
        for work in (self.keeper.run(), self.keeper.run_identification()):
            self.addCleanup(asyncio.create_task(work).cancel)

    async def wait_for(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_leaving_engine_is_emptied(self):
        """An engine is reclaimed with two seconds of notice.

        Each stream is copied while it runs, then stopped and told, one after
        another; entries hear of the leave before the first move.
        """
        self.server.answers = [ROOM]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertEqual(
            [('small', 'b:1'), ('big', 'b:1')], self.server.moves()
        )
        self.assertEqual(
            [
                ('small', 'b:1', False),
                ('small', 'b:1', True),
                ('big', 'b:1', False),
                ('big', 'b:1', True),
            ],
            self.engine.copies,
        )
        reports = [
            each
            for each in self.server.told
            if isinstance(each, wire.EngineReport)
        ]
        first_move = self.server.told.index(
            next(e for e in self.server.told if isinstance(e, wire.RunMoved))
        )
        leaving = next(each for each in reports if each.leaving)
        self.assertLess(self.server.told.index(leaving), first_move)

    async def test_entry_that_knows_no_engines_yet_does_not_decide(self):
        """An entry that has just started answers first, with no room.

        All streams of the engine were given up two seconds before it went.
        """
        self.server.answers = [NO_ROOM, ROOM]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertNotIn('', [target for _, target in self.server.moves()])

    async def test_room_that_comes_later_is_used(self):
        self.engine.leaving = True
        await self.wait_for(
            lambda: any(
                isinstance(each, wire.RoomAsk) for each in self.server.told
            )
        )
        self.server.answers = [ROOM]
        await self.wait_for(lambda: len(self.server.moves()) == 2)

    async def test_target_that_refuses(self):
        self.server.answers = [
            wire.RoomTold(
                [
                    wire.EngineRoom('full:1', 'd1', 25_000),
                    wire.EngineRoom('b:1', 'd1', 20_000),
                ]
            )
        ]
        self.engine.failures = [NotRunError(ErrorKind.overloaded)]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertIn(('small', 'b:1'), self.server.moves())

    async def test_room_is_asked_for_each_generation(self):
        """Other engines leave at the same time and fill the room first.

        By a list from the beginning of the leave copies went to engines that
        were full by then, and were refused one after another.
        """
        self.server.answers = [ROOM]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        asked = [
            each for each in self.server.told if isinstance(each, wire.RoomAsk)
        ]
        self.assertEqual(2, len(asked))

    async def test_announced_call_is_told_at_once(self):
        """Two entries choose within the time between two readings.

        The second one must see what the first has sent.
        """
        await self.wait_for(lambda: self.server.told)
        self.server.told.clear()
        self.keeper.handle(wire.CallPlaced('ab', 3000, 4000), None)
        await self.wait_for(lambda: self.server.told)
        self.assertEqual(3000, self.server.told[0].unread_tokens)

    async def test_generation_that_ends_by_itself_is_moved_last(self):
        self.server.answers = [ROOM]
        self.keeper.handle(wire.CallPlaced('small', 0, 2010), None)
        self.keeper._pace.seconds = 0.01
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertEqual(
            ['big', 'small'], [name for name, _ in self.server.moves()]
        )

    async def test_refused_generation_is_tried_again(self):
        """Every engine refuses a copy, and room comes up a moment later.

        The generation still runs on the leaving engine; given up after the
        first refusals its stream was lost with a second of notice to spare.
        """
        self.server.answers = [ROOM]
        self.engine.failures = [NotRunError(ErrorKind.overloaded)] * 5
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertNotIn('', [target for _, target in self.server.moves()])

    async def test_engine_goes_in_the_middle_of_a_copy(self):
        """An engine goes while its last stream is being copied.

        The caller was told a second later, when its entry had stopped waiting
        for the notice of a move.
        """
        self.server.answers = [ROOM]
        self.engine.failures = [BackendCutError('gone')] * 9
        self.engine.leaving = True
        await self.wait_for(lambda: not self.engine.failures[:-1])
        self.engine.gone = True
        await self.wait_for(
            lambda: set(self.server.moves()) == {('small', ''), ('big', '')}
        )

    async def test_generation_that_has_ended_needs_no_move(self):
        self.server.answers = [ROOM]
        self.engine.failures = [NotRunError(ErrorKind.answer_expired)]
        self.engine.leaving = True
        await self.wait_for(lambda: ('big', 'b:1') in self.server.moves())
        names = [name for name, _ in self.server.moves()]
        self.assertNotIn('small', names)

    async def test_streams_of_an_engine_that_is_gone(self):
        """An engine goes before its streams were moved.

        Entries hear at once that no notice will come, and that it takes no
        new work; silence would look like the loss of this process.
        """
        await self.wait_for(lambda: self.keeper.found is not None)
        self.engine.gone = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertEqual({('big', ''), ('small', '')}, set(self.server.moves()))
        await self.wait_for(
            lambda: getattr(self.server.told[-1], 'leaving', False)
        )
        self.assertFalse(self.keeper.needed)

    async def test_full_engine_that_does_not_say_its_name(self):
        """An engine starts again and fills up at once.

        Its health answer waits for a slot like any request. Its reports come
        all the same: it must not be taken for gone, which would turn all new
        work away from it.
        """
        await self.lose_engine()

        async def wait_for_a_slot():
            await asyncio.sleep(10)

        self.engine.identify = wait_for_a_slot
        self.engine.gone = False
        for _ in range(3):
            self.server.told.clear()
            await self.wait_for(lambda: self.server.told)
        self.assertFalse(self.server.told[-1].leaving)

    async def lose_engine(self):
        await self.wait_for(lambda: self.keeper.found is not None)
        self.engine.runs.clear()
        self.engine.gone = True
        await self.wait_for(lambda: self.keeper.found is None)

    async def test_name_that_comes_later(self):
        await self.lose_engine()
        names = [BackendCutError('busy'), BackendCutError('busy')]

        async def identify():
            if names:
                raise names.pop()
            return 'i-a'

        self.engine.identify = identify
        self.engine.gone = False
        await self.wait_for(lambda: self.keeper.found is not None)
        self.assertEqual('i-a', self.keeper.found.name)

    async def test_name_is_asked_for_as_soon_as_the_engine_answers(self):
        """An engine starts while the key-value service is away.

        Entries hear of it from here alone; asked for by a timer, its name came
        up to a second later, and for that time a leaving engine beside it had
        nowhere to move its streams.
        """
        with mock.patch('primrosewood.enginekeeper._NAME_SECONDS', 60):
            await self.lose_engine()
            await asyncio.sleep(0.1)
            waiting = asyncio.create_task(self.keeper.wait_identified(5))
            self.engine.gone = False
            async with asyncio.timeout(1):
                await waiting
        self.assertEqual('i-a', self.keeper.found.name)

    async def test_entry_that_connects_is_told_the_last_report(self):
        """An entry links to an engine that it has just heard of.

        Without a report the engine counts as having no room for streams that
        leave another one; the next report may be half a second away.
        """
        await self.wait_for(lambda: self.server.told)
        self.assertIsInstance(self.keeper.last_report, wire.EngineReport)

    async def test_what_entries_ask_each_other_is_passed_on(self):
        """Entries have no links to each other; one asks what others read."""
        ask = wire.PairsAsk('entry-2', 7)
        self.keeper.handle(ask, 'link of entry-2')
        self.assertIn(ask, self.server.told)
        told = wire.PairsTold('entry-2', 7, 9, [])
        self.keeper.handle(told, 'link of entry-1')
        self.assertEqual([('entry-2', told)], self.server.sent)
        news = wire.PairsTold('', 7, 9, [])
        self.keeper.handle(news, 'link of entry-1')
        self.assertIn(news, self.server.told)

    async def test_another_entrys_finding_is_passed_on(self):
        found = wire.EngineFound('i-b', 'b:1', 's', 'd1')
        self.keeper.handle(found, None)
        self.assertIn(found, self.server.told)
