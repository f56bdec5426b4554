"""The process beside an engine is stopped while it moves streams."""

import asyncio
from unittest import mock

from msgspec import structs

from primrosewood.platform.endpoint import EndpointNode
from standins.backends import EngineStandIn

from .deployment import GENERATION_HEADERS, Deployment

_STOP_SECONDS = 2
# With this much of the stop gone a copy of a stream begins, and its last part
# is ordered; the answer comes after the end.
_LATE_SECONDS = 1.15
_COPY_SECONDS = 0.35
_NOTICE_MS = 1800
_EVENTS = 150
# The process has read of a stream by then.
_SEEN_EVENTS = 20
_HEADERS = {**GENERATION_HEADERS, 'Primrosewood-Deadline-Ms': '15000'}


class _SlowEngine(EngineStandIn):
    """Takes its time over copies; a stream stops before its last one."""

    def __init__(self, *args):
        super().__init__(*args)
        self.events = _EVENTS
        self.orders = 0

    async def _move(self, request):
        self.orders += 1
        answer = await super()._move(request)
        await asyncio.sleep(_COPY_SECONDS)
        return answer

    @property
    def made(self):
        return max((run.events for run in self._runs.values()), default=0)


class StoppedMoverTest(Deployment):
    """A stream on an engine whose process is stopped, and started again."""

    async def asyncSetUp(self):
        patched = mock.patch('tests.deployment.EngineStandIn', _SlowEngine)
        patched.start()
        self.addCleanup(patched.stop)
        self.nodes = {}
        await super().asyncSetUp()
        self.reading = asyncio.create_task(
            self.call('POST', '/guide/', name='ff00', headers=_HEADERS)
        )
        self.addCleanup(self.reading.cancel)
        await self.wait_for(self.is_read)
        self.engine = max(self.engines.values(), key=lambda each: each.made)

    def make_settings(self, name, host, **fields):
        settings = super().make_settings(name, host, **fields)
        limits = structs.replace(settings.limits, stop_seconds=_STOP_SECONDS)
        return structs.replace(settings, limits=limits)

    def run_node(self, node, stop):
        task = super().run_node(node, stop)
        if isinstance(node, EndpointNode):
            self.nodes[node._settings.name] = (node._settings, stop, task)
        return task

    async def is_read(self):
        return any(each.made >= _SEEN_EVENTS for each in self.engines.values())

    async def is_moving(self):
        return self.engine.orders > 0

    def stop_process(self):
        settings, stop, task = self.nodes[f'side-{self.engine.name}']
        stop.set()
        return settings, task

    async def assert_stream_whole(self):
        _response, body = await self.reading
        self.assertEqual(_EVENTS, body.count(b'id: '))

    async def test_stop_in_the_middle_of_a_move(self):
        """An engine leaves, and its process is stopped during the copy.

        The process stays until the copy is made and told.
        """
        self.engine.leaves_ms = _NOTICE_MS
        await self.wait_for(self.is_moving)
        _settings, task = self.stop_process()
        await self.assert_stream_whole()
        await task

    async def test_stop_ends_in_the_middle_of_a_move(self):
        """An engine leaves when the stop of its process is nearly over.

        The process stops the stream for its last copy, and ends before it can
        tell where the copy is: the stream is cut, though its engine had time
        left and the next process could have moved it.
        """
        settings, task = self.stop_process()
        await asyncio.sleep(_LATE_SECONDS)
        self.engine.leaves_ms = _NOTICE_MS
        await task
        self.run_node(EndpointNode(settings), asyncio.Event())
        await self.assert_stream_whole()
