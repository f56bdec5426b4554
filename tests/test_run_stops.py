"""Stops of generations, from the process beside their engine."""

import asyncio

from primrosewood import gen_wire as wire
from primrosewood.errors import (
    BackendCutError,
    BackendPausedError,
    ErrorKind,
    NotRunError,
    RunStoppedError,
)
from primrosewood.moves import EngineRun

from .test_enginekeeper import (
    CAPACITY_REPLY,
    FakeEngine,
    KeeperTestCase,
)

_LOST = BackendCutError('TimeoutError')


class _LeavingEngine(FakeEngine):
    """An engine with scripted answers to the orders that stop a run.

    Attributes
    ----------
    answers
        Errors of these orders, in order; further ones are carried out.
    stops
        Whether a run stops whose order is not carried out.
    """

    def __init__(self, *runs):
        super().__init__(*runs)
        self.answers = []
        self.stops = True
        self.restarts = False

    async def copy(self, run, target, last):
        if not any(each.name == run.name for each in self.runs):
            raise NotRunError(ErrorKind.answer_expired, 'not here')
        if not (last and self.answers):
            return await super().copy(run, target, last)
        self.copies.append((run.name, target, last))
        if self.stops:
            self.runs.remove(run)
        if self.restarts:
            self.boot += 1
        raise self.answers.pop(0)


class RunStopTest(KeeperTestCase):
    """What the entries are asked before a stop, and told after it."""

    make_engine = _LeavingEngine

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server.answers = [CAPACITY_REPLY]
        await self.wait_for(lambda: self.keeper.found is not None)

    def list_notices(self, name='small'):
        return [
            each
            for each in self.server.broadcasts
            if isinstance(each, wire.RunMoved) and each.attempt == name
        ]

    def list_orders(self):
        return [name for name, _target, last in self.engine.copies if last]

    async def leave(self, *answers):
        """Let the engine leave; return the first notice of a run."""
        self.engine.answers = list(answers)
        self.engine.leaving = True
        await self.wait_for(self.list_notices)
        return self.list_notices()[0]

    async def test_entry_is_asked_before(self):
        """Guards against a run that stops before its entry expects it."""
        orders = []

        def confirm(query):
            orders.append((query.attempt, list(self.list_orders())))
            return [
                wire.StopReply(
                    query.attempt, query.boot, query.number, agrees=True
                )
            ]

        self.server.confirm = confirm
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        self.assertEqual([('small', []), ('big', ['small'])], orders)
        self.assertEqual(
            {('a:1', FakeEngine.boot)},
            {(each.source, each.boot) for each in self.server.announced},
        )

    async def test_entry_that_does_not_answer(self):
        """Guards against a stop of which the holder of a stream knows nothing.

        It is frozen, cut off or gone. Other runs do not wait for it.
        """
        self.server.confirm = lambda query: [
            wire.StopReply('other', query.boot, query.number, agrees=True),
            wire.StopReply(
                query.attempt, query.boot + 1, query.number, agrees=True
            ),
            wire.StopReply(
                query.attempt, query.boot, query.number, query.attempt == 'big'
            ),
        ][: 2 + (query.attempt == 'big')]
        self.engine.leaving = True
        await self.wait_for(lambda: ('big', 'b:1') in self.server.moves())
        await asyncio.sleep(0.4)
        self.assertEqual(['big'], self.list_orders())
        self.assertEqual([], self.list_notices())
        self.server.confirm = lambda query: [
            wire.StopReply(query.attempt, query.boot, query.number, agrees=True)
        ]
        await self.wait_for(self.list_notices)

    async def test_only_the_entry_of_the_stream_is_asked(self):
        """Guards against queries that grow with entries and moves.

        All are asked the next time, as the link may be dead.
        """
        confirm = self.server.confirm
        self.server.confirm = lambda query: []
        self.keeper.handle(wire.CallPlaced('big', 0, 5000), 'link of entry-2')
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.announced) == 3)
        self.server.confirm = confirm
        await self.wait_for(lambda: ('big', 'b:1') in self.server.moves())
        asked = [
            holder
            for query, holder in zip(
                self.server.announced, self.server.asked, strict=True
            )
            if query.attempt == 'big'
        ]
        self.assertEqual(['link of entry-2', None], asked[:2])

    async def test_entry_that_declines(self):
        """Guards against a run that stops though its answer cannot go on."""
        self.server.confirm = lambda query: [
            wire.StopReply(
                query.attempt, query.boot, query.number, query.attempt == 'big'
            )
        ]
        self.engine.leaving = True
        await self.wait_for(lambda: ('big', 'b:1') in self.server.moves())
        await asyncio.sleep(0.2)
        self.assertEqual(['big'], self.list_orders())
        self.assertEqual([], self.list_notices())

    async def test_memory_stays_at_the_engine(self):
        """Guards against a stopped run that nobody takes up again."""
        notice = await self.leave(RunStoppedError('kept', 'status 503'))
        self.assertEqual(
            ('kept', 'a:1', 'i-a', FakeEngine.boot),
            (
                notice.handle,
                notice.target,
                notice.target_name,
                notice.target_boot,
            ),
        )

    async def test_run_that_resumes_at_its_engine_is_moved_later(self):
        """Guards against a run that is stopped once and then forgotten."""
        await self.leave(RunStoppedError('kept', 'status 503'))
        self.engine.runs.append(EngineRun('small', 2010, 10))
        await self.wait_for(lambda: ('small', 'b:1') in self.server.moves())

    async def test_lost_answer(self):
        """Guards against a stopped run of which no entry is told."""
        notice = await self.leave(_LOST)
        self.assertEqual(
            ('copy-small', 'b:1', 'b:1'),
            (notice.handle, notice.target, notice.target_name),
        )
        await asyncio.sleep(0.3)
        self.assertEqual(1, len(self.list_notices()))

    async def test_answer_that_names_no_handle(self):
        """Guards against a refusal that is taken for a run that goes on."""
        notice = await self.leave(NotRunError(ErrorKind.overloaded))
        self.assertEqual(('copy-small', 'b:1'), (notice.handle, notice.target))

    async def test_order_that_did_not_arrive_is_repeated(self):
        """Guards against a run that is left behind after a lost order."""
        self.engine.stops = False
        await self.leave(_LOST)
        await self.wait_for(lambda: len(self.list_notices()) == 2)
        self.assertEqual(['small', 'small'], self.list_orders()[::2])

    async def test_run_that_ends_by_itself(self):
        """Guards against a whole stream that is broken off beside a move."""
        ended = NotRunError(ErrorKind.answer_expired)
        notice = await self.leave(ended)
        self.assertEqual('', notice.handle)
        self.assertEqual(FakeEngine.boot, notice.source_boot)

    async def test_run_that_ends_during_its_copy(self):
        """Guards against others that wait for the stop of a run that is gone."""
        copy = self.engine.copy

        async def copy_slowly(run, target, last):
            handle = await copy(run, target, last)
            if run.name == 'small':
                self.engine.runs.remove(run)
                await asyncio.sleep(0.3)
            return handle

        self.engine.copy = copy_slowly
        self.engine.leaving = True
        await self.wait_for(lambda: ('big', 'b:1') in self.server.moves())
        self.assertEqual(
            ['big'], [each.attempt for each in self.server.announced]
        )
        self.assertEqual([], self.list_notices())

    async def test_order_that_was_not_sent(self):
        """Guards against a stream that waits for an order nobody gave."""
        self.engine.stops = False
        paused = BackendPausedError(ErrorKind.overloaded, retry_seconds=0.1)
        notice = await self.leave(paused)
        self.assertEqual('', notice.handle)

    async def test_engine_that_has_started_anew(self):
        """Guards against "no such run" that is taken for a good end."""
        self.engine.restarts = True
        self.engine.answers = [NotRunError(ErrorKind.answer_expired)]
        self.engine.leaving = True
        await self.wait_for(lambda: self.list_notices('big'))
        handles = [(e.handle, e.source_boot) for e in self.list_notices()]
        self.assertEqual([('copy-small', FakeEngine.boot)], handles)

    async def test_engine_is_lost_after_the_order(self):
        """Guards against "not moved" that hides a run that was stopped."""

        async def read():
            raise BackendCutError('TimeoutError')

        await self.leave(_LOST)
        self.engine.stops = False
        self.engine.read = read
        await self.wait_for(lambda: self.keeper.found is None)
        self.assertNotIn('', [each.handle for each in self.list_notices()])


class AskedRunTest(KeeperTestCase):
    """What entries are told of runs whose stop was asked for."""

    make_engine = _LeavingEngine

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server.answers = [CAPACITY_REPLY]
        await self.wait_for(lambda: self.keeper.found is not None)
        self.told = []
        broadcast, copy = self.server.broadcast, self.engine.copy

        def record(message, exclude=()):
            if isinstance(message, wire.RunMoved):
                kind = 'moved' if message.handle else 'stay'
                self.told.append((message.attempt, kind))
            broadcast(message, exclude)

        async def record_copy(run, target, last):
            if last:
                self.told.append((run.name, 'order'))
            return await copy(run, target, last)

        self.server.broadcast = record
        self.engine.copy = record_copy

    def list_told(self, name='small'):
        return [kind for each, kind in self.told if each == name]

    async def test_reading_fails_while_the_entry_is_asked(self):
        """Guards against "not moved" that is followed by the stop itself."""

        def confirm(query):
            self.told.append((query.attempt, 'asked'))
            reply = wire.StopReply(
                query.attempt, query.boot, query.number, agrees=True
            )
            self.engine.gone = True
            loop = asyncio.get_running_loop()
            loop.call_later(0.15, self.keeper.handle, reply, None)
            return []

        self.server.confirm = confirm
        self.engine.leaving = True
        await self.wait_for(lambda: 'asked' in self.list_told())
        await asyncio.sleep(0.4)
        kinds = self.list_told()
        last_word = [kind for kind in kinds if kind in {'asked', 'stay'}]
        if 'order' in kinds:
            self.assertEqual('asked', last_word[-1], kinds)

    async def test_run_ends_after_an_unanswered_question(self):
        """Guards against a whole stream that is broken off for good."""
        self.server.confirm = lambda query: []
        self.engine.leaving = True
        await self.wait_for(lambda: self.server.announced)
        await asyncio.sleep(0.3)
        self.engine.runs.clear()
        await asyncio.sleep(0.5)
        self.assertNotIn('order', self.list_told())
        self.assertIn('stay', self.list_told())

    async def test_late_reply_to_an_earlier_question(self):
        """Guards against a stop that only an earlier question announced.

        It may have been taken back meanwhile.
        """
        questions = []

        def confirm(query):
            if query.attempt != 'small':
                return []
            questions.append(query)
            first = questions[0]
            if query is first:
                return []
            return [
                wire.StopReply(
                    first.attempt, first.boot, first.number, agrees=True
                )
            ]

        self.server.confirm = confirm
        self.engine.leaving = True
        await self.wait_for(lambda: len(questions) > 2)
        self.assertNotIn('order', self.list_told())

    async def test_question_is_declined_after_an_unanswered_one(self):
        """Guards against an ended stream that waits for an order in vain."""
        replies = []

        def confirm(query):
            replies.append(query.attempt)
            if query.attempt != 'small' or replies.count('small') < 2:
                return []
            return [
                wire.StopReply(
                    query.attempt, query.boot, query.number, agrees=False
                )
            ]

        self.server.confirm = confirm
        self.engine.leaving = True
        await self.wait_for(lambda: replies.count('small') > 1)
        await asyncio.sleep(0.2)
        self.assertNotIn('order', self.list_told())
        self.assertIn('stay', self.list_told())

    async def test_run_that_resumed_at_its_engine_ends_there(self):
        """Guards against a whole stream that is sent to an old copy."""
        self.engine.runs = [EngineRun('small', 2000, 9)]
        self.engine.answers = [
            RunStoppedError('kept', 'status 503'),
            NotRunError(ErrorKind.answer_expired),
        ]
        self.engine.leaving = True
        await self.wait_for(lambda: self.list_told()[-1:] == ['moved'])
        self.engine.runs.append(EngineRun('small', 2000, 9))
        await self.wait_for(lambda: self.list_told().count('order') > 1)
        await asyncio.sleep(0.2)
        self.assertEqual(['order', 'moved', 'order', 'stay'], self.list_told())

    async def test_process_stops_after_an_unanswered_question(self):
        """Guards against a whole stream that waits for a process that ended."""
        self.server.confirm = lambda query: []
        self.engine.leaving = True
        await self.wait_for(lambda: self.server.announced)
        await asyncio.sleep(0.3)
        self.keeper.stop_moves()
        self.assertIn('stay', self.list_told())
        self.assertNotIn('order', self.list_told())

    async def test_streams_of_a_silent_entry_come_last(self):
        """Guards against one frozen entry that uses up the notice of others."""
        for name in ('a', 'b', 'c', 'd'):
            self.engine.runs.append(EngineRun(name, 1000, 3))
            call = wire.CallPlaced(name, 0, 5000)
            self.keeper.handle(call, 'link of a frozen entry')
        self.server.confirm = lambda query: [
            wire.StopReply(query.attempt, query.boot, query.number, agrees=True)
        ][: query.attempt in {'big', 'small'}]
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.server.moves()) == 2)
        asked = [query.attempt for query in self.server.announced]
        self.assertEqual(['a', 'small', 'big'], asked[:3])

    async def test_no_entry_understands_the_question(self):
        """Guards against a wait for replies of older processes."""
        self.server.announce_stop = lambda query, holder=None: False
        self.engine.leaving = True
        await self.wait_for(lambda: len(self.engine.copies) > 1)
        self.assertEqual([], self.list_told())
