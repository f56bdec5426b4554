"""An endpoint process that is stopped while it moves streams."""

import asyncio
from unittest import mock

from msgspec import structs

from primrosewood.platform.endpoint import EndpointNode
from standins.backends import EngineStandIn

from .deployment import GENERATION_HEADERS, Deployment

_STOP_SECONDS = 2
# A move that starts this long after the stop signal requests its final copy
# before the process ends and gets the response after it.
_MOVE_START_SECONDS = 1.15
_COPY_SECONDS = 0.35
_LEAVE_NOTICE_MS = 1800
_EVENTS = 150
# By then the endpoint process has seen the stream in a report.
_MINIMUM_EVENTS = 20
_HEADERS = {**GENERATION_HEADERS, 'Primrosewood-Deadline-Ms': '15000'}


class _SlowCopyEngine(EngineStandIn):
    """Responds to a copy request after a delay.

    The final copy stops the stream before the delay.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.events = _EVENTS
        self.copy_requests = 0

    async def _move(self, request):
        self.copy_requests += 1
        response = await super()._move(request)
        await asyncio.sleep(_COPY_SECONDS)
        return response

    @property
    def events_sent(self):
        return max((run.events for run in self._runs.values()), default=0)


class EndpointStopTest(Deployment):
    """A stream whose endpoint process is stopped during a move."""

    async def asyncSetUp(self):
        patcher = mock.patch('tests.deployment.EngineStandIn', _SlowCopyEngine)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.nodes = {}
        await super().asyncSetUp()
        self.stream = asyncio.create_task(
            self.call('POST', '/guide/', name='ff00', headers=_HEADERS)
        )
        self.addCleanup(self.stream.cancel)
        await self.wait_for(self.has_started_stream)
        self.engine = max(
            self.engines.values(), key=lambda each: each.events_sent
        )

    def make_settings(self, name, host, **fields):
        settings = super().make_settings(name, host, **fields)
        limits = structs.replace(settings.limits, stop_seconds=_STOP_SECONDS)
        return structs.replace(settings, limits=limits)

    def run_node(self, node, stop):
        task = super().run_node(node, stop)
        if isinstance(node, EndpointNode):
            self.nodes[node._settings.name] = (node._settings, stop, task)
        return task

    async def has_started_stream(self):
        return any(
            each.events_sent >= _MINIMUM_EVENTS
            for each in self.engines.values()
        )

    async def has_copy_request(self):
        return self.engine.copy_requests > 0

    def stop_process(self):
        settings, stop, task = self.nodes[f'side-{self.engine.name}']
        stop.set()
        return settings, task

    async def assert_stream_complete(self):
        _response, body = await self.stream
        self.assertEqual(_EVENTS, body.count(b'id: '))

    async def test_stop_during_a_move(self):
        """Guards against a process that ends before its move is complete.

        The engine is leaving and the endpoint process is stopped during the
        copy; it must finish the copy and report it.
        """
        self.engine.leaves_ms = _LEAVE_NOTICE_MS
        await self.wait_for(self.has_copy_request)
        _settings, task = self.stop_process()
        await self.assert_stream_complete()
        await task

    async def test_stop_time_ends_during_a_move(self):
        """Guards against a final copy that the process cannot report.

        The engine starts to leave when the stop time is nearly over.  A final
        copy would stop the stream and the process would end before it has
        reported where the copy is, which cuts the stream.  The engine has time
        left, so the next process can move it.
        """
        settings, task = self.stop_process()
        await asyncio.sleep(_MOVE_START_SECONDS)
        self.engine.leaves_ms = _LEAVE_NOTICE_MS
        await task
        self.run_node(EndpointNode(settings), asyncio.Event())
        await self.assert_stream_complete()
