"""Tests of EngineKeeper with a scripted engine and fake links to entries."""

import asyncio
import unittest
from random import Random
from unittest import mock

from msgspec import structs

from primrosewood import gen_wire as wire
from primrosewood.backendstate import EngineState
from primrosewood.clock import SystemClock
from primrosewood.enginekeeper import EngineKeeper
from primrosewood.errors import (
    BackendCutError,
    BackendPausedError,
    ErrorKind,
    NotRunError,
)
from primrosewood.metrics import Metrics
from primrosewood.movableengine import (
    EngineAbsentError,
    EngineLocation,
    EngineReading,
)
from primrosewood.moves import EngineRun


def make_room(address, free_tokens, boot=1):
    """Return the free memory of an engine whose name is its address."""
    return wire.EngineCapacity(
        address, 'd1', free_tokens, name=address, boot=boot
    )


def make_reply(rooms):
    """Return the reply of an entry that knows the fake engine."""
    return wire.CapacityReply(rooms, 's', 'i-a', FakeEngine.boot)


EMPTY_REPLY = wire.CapacityReply([])


class FakeServer:
    """Records messages to entries, and answers queries for free capacity."""

    def __init__(self):
        self.broadcasts = []
        self.limited = []
        self.answers = []
        self.keeper = None
        self.peers = 2
        self.sent = []
        self.leaving = ''
        self.change_reply = lambda told: [told]
        self.announced = []
        self.asked = []
        self.confirm = lambda query: [
            wire.StopReply(query.attempt, query.boot, query.number, agrees=True)
        ]

    def send_to(self, peer, message):
        self.sent.append((peer, message))

    def broadcast(self, message, exclude=()):
        self.broadcasts.append(message)
        self.excluded = exclude
        if isinstance(message, wire.CapacityQuery):
            for answer in self.answers:
                self.keeper.handle(answer, None)
        if isinstance(message, wire.TargetQuery):
            takes_calls = message.address != self.leaving
            told = wire.TargetReply(
                message.address, takes_calls, message.name, message.boot
            )
            for reply in self.change_reply(told):
                self.keeper.handle(reply, None)

    def announce_stop(self, query, holder=None):
        """Answer as the entry that holds the stream."""
        self.announced.append(query)
        self.asked.append(holder)
        for reply in self.confirm(query):
            self.keeper.handle(reply, None)
        return True

    def send_to_some(self, message, limit, exclude=None):
        self.limited.append(message)
        self.broadcast(message)
        return ['link of an asked entry'][:limit]

    def moves(self):
        return [
            (each.attempt, each.target)
            for each in self.broadcasts
            if isinstance(each, wire.RunMoved)
        ]


class FakeEngine:
    """An engine with scripted generations and failures.

    It starts after the process beside it has looked for it once.
    """

    address = 'a:1'
    boot = 5

    def __init__(self, *runs):
        self.runs = list(runs)
        self.leaving = False
        self.gone = False
        self.started = False
        self.paused = False
        self.copies = []
        self.failures = []

    async def read(self):
        if not self.started:
            self.started = True
            raise EngineAbsentError('nothing listens')
        if self.gone:
            raise BackendCutError('gone')
        if self.paused:
            raise BackendPausedError(ErrorKind.overloaded, retry_seconds=3)
        state = EngineState(total_tokens=30_000, leaving=self.leaving)
        leaves_in = 2.0 if self.leaving else None
        return EngineReading(state, tuple(self.runs), leaves_in, self.boot)

    async def identify(self):
        return 'i-a'

    async def copy(self, run, target, last):
        if self.failures:
            raise self.failures.pop(0)
        self.copies.append((run.name, target, last))
        if last:
            self.runs.remove(run)
        return f'copy-{run.name}'


CAPACITY_REPLY = make_reply([make_room('b:1', 20_000)])


class KeeperTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests on a keeper of an engine with two generations."""

    make_engine = FakeEngine

    async def asyncSetUp(self):
        patched = mock.patch(
            'primrosewood.enginekeeper._IDENTIFY_RETRY_SECONDS', 0.02
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.engine = self.make_engine(
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


class EngineKeeperTest(KeeperTestCase):
    """Reports, forwarded messages and moves."""

    async def test_generations_are_moved_off_a_leaving_engine(self):
        """An engine leaves with two seconds of notice.

        Streams are moved one at a time: each is copied while it runs, then
        stopped, and the move is reported. Entries learn that the engine is
        leaving before the first move.
        """
        self.server.answers = [CAPACITY_REPLY]
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
            for each in self.server.broadcasts
            if isinstance(each, wire.EngineReport)
        ]
        first_move = self.server.broadcasts.index(
            next(
                e
                for e in self.server.broadcasts
                if isinstance(e, wire.RunMoved)
            )
        )
        leaving = next(each for each in reports if each.leaving)
        self.assertLess(self.server.broadcasts.index(leaving), first_move)

    async def test_reply_of_an_entry_without_engines_is_ignored(self):
        """An entry that has just started replies first, without engines.

        Guards against taking its reply as final, which gave up all streams two
        seconds before the engine was gone.
        """
        self.server.answers = [EMPTY_REPLY, CAPACITY_REPLY]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertNotIn('', [target for _, target in self.server.moves()])

    async def test_reply_to_an_earlier_engine(self):
        """Guards against targets for the service that had the address."""
        old = structs.replace(CAPACITY_REPLY, boot=FakeEngine.boot - 1)
        nobody = structs.replace(CAPACITY_REPLY, service='', name='', boot=0)
        self.server.answers = [old, nobody]
        self.engine.leaving = True
        await self.wait_for(
            lambda: any(
                isinstance(each, wire.CapacityQuery)
                for each in self.server.broadcasts
            )
        )
        await asyncio.sleep(0.4)
        self.assertEqual([], self.engine.copies)

    async def test_capacity_reported_later_is_used(self):
        self.engine.leaving = True
        await self.wait_for(
            lambda: any(
                isinstance(each, wire.CapacityQuery)
                for each in self.server.broadcasts
            )
        )
        self.server.answers = [CAPACITY_REPLY]
        await self.wait_for(lambda: len(self.server.moves()) == 2)

    async def test_next_target_is_tried_after_a_refusal(self):
        self.server.answers = [
            make_reply(
                [
                    make_room('full:1', 25_000),
                    make_room('b:1', 20_000),
                ]
            )
        ]
        self.engine.failures = [NotRunError(ErrorKind.overloaded)]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertIn(('small', 'b:1'), self.server.moves())

    async def test_target_that_begins_to_leave_during_the_copy(self):
        """Guards against a stream that stops for an engine that leaves.

        It runs on at its engine until another target has its copy.
        """
        self.server.answers = [
            make_reply(
                [
                    make_room('leaves:1', 25_000),
                    make_room('b:1', 20_000),
                ]
            )
        ]
        self.server.leaving = 'leaves:1'
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertEqual(
            {('small', 'b:1'), ('big', 'b:1')}, set(self.server.moves())
        )
        last_targets = {
            target for _name, target, last in self.engine.copies if last
        }
        self.assertEqual({'b:1'}, last_targets)

    async def check_that_streams_run_on(self, change_reply):
        """Check that no stream stops for a target, and that both move later."""
        self.server.answers = [CAPACITY_REPLY]
        self.server.change_reply = change_reply
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.engine.copies) > 2)
        self.assertFalse(any(last for _name, _to, last in self.engine.copies))
        self.assertEqual([], self.server.moves())
        self.server.change_reply = lambda told: [told]
        await self.wait_for(lambda: len(self.server.moves()) == 2)

    async def test_no_entry_says_that_the_target_takes_calls(self):
        """Guards against a stream that stops for an engine nobody knows."""
        await self.check_that_streams_run_on(lambda _told: [])

    async def test_late_reply_about_another_target(self):
        """Guards against a reply to an earlier query that admits this one."""
        await self.check_that_streams_run_on(
            lambda told: [
                structs.replace(told, name='earlier:1', address='earlier:1'),
                structs.replace(told, boot=told.boot + 1),
            ]
        )

    async def test_reply_that_names_no_engine(self):
        """Guards against a reply of an older process, by its address only."""
        await self.check_that_streams_run_on(
            lambda told: [wire.TargetReply(told.address, True)]
        )

    async def test_targets_without_an_identity(self):
        """Guards against a stream that goes on at whatever has an address."""
        self.server.answers = [
            make_reply(
                [
                    wire.EngineCapacity('nameless:1', 'd1', 29_000, boot=1),
                    make_room('bootless:1', 28_000, boot=0),
                    make_room('b:1', 20_000),
                ]
            )
        ]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertEqual({'b:1'}, {each[1] for each in self.engine.copies})
        moved = [
            each
            for each in self.server.broadcasts
            if isinstance(each, wire.RunMoved)
        ]
        self.assertEqual(
            {('s', 'b:1', 1, FakeEngine.boot)},
            {
                (e.service, e.target_name, e.target_boot, e.source_boot)
                for e in moved
            },
        )

    async def test_capacity_is_queried_for_each_generation(self):
        """Other engines leave at the same time and take up free capacity.

        Guards against using one list for all moves: copies then went to
        engines that had become full, and were refused one after another.
        """
        self.server.answers = [CAPACITY_REPLY]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        asked = [
            each
            for each in self.server.broadcasts
            if isinstance(each, wire.CapacityQuery)
        ]
        self.assertEqual(2, len(asked))

    async def test_announced_call_is_reported_at_once(self):
        """Two entries select an engine between two polls of its report.

        The second entry must see the call that the first one has sent.
        """
        await self.wait_for(lambda: self.server.broadcasts)
        self.server.broadcasts.clear()
        self.keeper.handle(wire.CallPlaced('ab', 3000, 4000), None)
        await self.wait_for(lambda: self.server.broadcasts)
        self.assertEqual(3000, self.server.broadcasts[0].unread_tokens)

    async def test_generation_about_to_complete_is_moved_last(self):
        self.server.answers = [CAPACITY_REPLY]
        self.keeper.handle(wire.CallPlaced('small', 0, 2010), None)
        self.keeper._token_time.seconds = 0.01
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertEqual(
            ['big', 'small'], [name for name, _ in self.server.moves()]
        )

    async def test_refused_move_is_retried(self):
        """Every engine refuses a copy, and capacity becomes free shortly after.

        The generation still runs on the leaving engine. Guards against giving
        it up after the first refusals, which lost its stream with a second of
        notice left.
        """
        self.server.answers = [CAPACITY_REPLY]
        self.engine.failures = [NotRunError(ErrorKind.overloaded)] * 5
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertNotIn('', [target for _, target in self.server.moves()])

    async def test_engine_is_lost_during_a_copy(self):
        """An engine is lost while its last stream is being copied.

        Guards against a late report: it came a second later, when the entry
        had already stopped waiting for the notice of a move.
        """
        self.server.answers = [CAPACITY_REPLY]
        self.engine.failures = [BackendCutError('gone')] * 9
        self.engine.leaving = True
        await self.wait_for(lambda: not self.engine.failures[:-1])
        self.engine.gone = True
        await self.wait_for(
            lambda: set(self.server.moves()) == {('small', ''), ('big', '')}
        )

    async def test_completed_generation_is_not_moved(self):
        self.server.answers = [CAPACITY_REPLY]
        self.engine.failures = [NotRunError(ErrorKind.answer_expired)]
        self.engine.leaving = True
        await self.wait_for(lambda: ('big', 'b:1') in self.server.moves())
        names = [name for name, _ in self.server.moves()]
        self.assertNotIn('small', names)

    async def test_streams_of_a_lost_engine_are_reported(self):
        """An engine is lost before its streams are moved.

        Entries learn at once that the streams are not moved and that the
        engine gets no new calls; without a report they would assume that the
        endpoint process is lost.
        """
        await self.wait_for(lambda: self.keeper.found is not None)
        self.engine.gone = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertEqual({('big', ''), ('small', '')}, set(self.server.moves()))
        await self.wait_for(
            lambda: getattr(self.server.broadcasts[-1], 'leaving', False)
        )
        self.assertFalse(self.keeper.needed)

    async def test_paused_engine_is_not_reported_as_lost(self):
        """Guards against streams given up because their engine rests."""
        await self.wait_for(lambda: self.keeper.found)
        self.engine.paused = True
        self.server.broadcasts.clear()
        await self.wait_for(
            lambda: any(
                isinstance(each, wire.EngineReport)
                for each in self.server.broadcasts
            )
        )
        self.assertFalse(self.keeper.last_report.leaving)
        self.assertEqual([], self.server.moves())

    async def test_full_engine_that_cannot_be_identified(self):
        """An engine restarts and fills up at once.

        Its health check waits for a slot like any request, while its reports
        still arrive. It must not be treated as lost, which would keep all new
        calls away from it.
        """
        await self.lose_engine()

        async def block_until_slot_is_free():
            await asyncio.sleep(10)

        self.engine.identify = block_until_slot_is_free
        self.engine.gone = False
        for _ in range(3):
            self.server.broadcasts.clear()
            await self.wait_for(lambda: self.server.broadcasts)
        self.assertFalse(self.server.broadcasts[-1].leaving)

    async def lose_engine(self):
        await self.wait_for(lambda: self.keeper.found is not None)
        self.engine.runs.clear()
        self.engine.gone = True
        await self.wait_for(lambda: self.keeper.found is None)

    async def test_identification_is_retried(self):
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

    async def test_engine_is_identified_as_soon_as_it_answers(self):
        """An engine starts while the key-value service is down.

        Entries learn of it only from its endpoint process. Guards against
        identifying it by a timer, which took up to a second, during which a
        leaving engine had no target for its streams.
        """
        with mock.patch(
            'primrosewood.enginekeeper._IDENTIFY_RETRY_SECONDS', 60
        ):
            await self.lose_engine()
            await asyncio.sleep(0.1)
            waiting = asyncio.create_task(self.keeper.wait_identified(5))
            self.engine.gone = False
            async with asyncio.timeout(1):
                await waiting
        self.assertEqual('i-a', self.keeper.found.name)

    async def test_last_report_is_kept_for_new_entries(self):
        """An entry connects to the endpoint process of a new engine.

        Until it has a report the entry offers no capacity of that engine for
        moves, and the next regular report may be half a second away.
        """
        await self.wait_for(lambda: self.server.broadcasts)
        self.assertIsInstance(self.keeper.last_report, wire.EngineReport)

    async def test_copies_are_reported_as_they_begin_and_end(self):
        """Other engines that leave now must not copy to the same target."""
        self.server.answers = [CAPACITY_REPLY]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        await self.wait_for(lambda: not self.keeper.moving)
        targets = [
            each.copying_to
            for each in self.server.broadcasts
            if isinstance(each, wire.EngineReport)
        ]
        changes = [
            target
            for target, before in zip(targets[1:], targets, strict=False)
            if target != before
        ]
        self.assertEqual(['b:1', '', 'b:1', ''], changes)

    async def test_engine_that_a_roll_out_stops(self):
        """Guards against streams cut as their engine is stopped undrained.

        Entries repeat that it will be stopped, and may take it back.
        """
        self.server.answers = [CAPACITY_REPLY]
        await self.wait_for(lambda: self.keeper.found)
        self.keeper.handle(wire.EngineRetired(4.0, FakeEngine.boot), None)
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertTrue(self.keeper.last_report.leaving)
        self.keeper.handle(wire.EngineRetired(-1.0, FakeEngine.boot), None)
        await self.wait_for(lambda: not self.keeper.last_report.leaving)

    async def test_other_engine_at_the_address_is_not_retired(self):
        """Guards against streams that leave an engine no roll-out stops."""
        await self.wait_for(lambda: self.keeper.last_report is not None)
        self.server.answers = [CAPACITY_REPLY]
        for boot in (FakeEngine.boot - 1, 0):
            self.keeper.handle(wire.EngineRetired(4.0, boot), None)
        await asyncio.sleep(0.2)
        self.assertFalse(self.keeper.last_report.leaving)
        self.assertEqual([], self.server.moves())

    async def test_messages_between_entries_are_forwarded(self):
        """Entries have no links to each other; messages are forwarded."""
        query = wire.PairsQuery('entry-2', 7)
        self.keeper.handle(query, 'link of entry-2')
        self.assertIn(query, self.server.broadcasts)
        answer = wire.PairsUpdate('entry-2', 7, 9, [])
        self.keeper.handle(answer, 'link of entry-1')
        self.assertEqual([('entry-2', answer)], self.server.sent)
        update = wire.PairsUpdate('', 7, 9, [])
        self.keeper.handle(update, 'link of entry-1')
        self.assertIn(update, self.server.broadcasts)

    async def test_news_of_a_failed_read_reaches_all_entries(self):
        """Entries that the store refuses take turns in trying it again.

        Guards against an answer of each of them, with all changes since the
        asker's revision: only a few are asked for one.
        """
        query = wire.PairsQuery('entry-2', 7)
        self.keeper.handle(query, 'link of entry-2')
        attempt = wire.PairsQuery('entry-2', 7, to_all=True)
        self.keeper.handle(attempt, 'link of entry-2')
        self.assertEqual([query, attempt], self.server.limited)
        notice = wire.PairsQuery('entry-2', 7, to_all=True, answer_wanted=False)
        self.assertIn(notice, self.server.broadcasts)
        self.assertEqual(
            ('link of entry-2', 'link of an asked entry'), self.server.excluded
        )

    async def test_engine_announced_by_an_entry_is_forwarded(self):
        found = wire.EngineFound('i-b', 'b:1', 's', 'd1')
        self.keeper.handle(found, None)
        self.assertIn(found, self.server.broadcasts)
