"""Whose an address is believed to be, after it went to another engine."""

import asyncio
import itertools
import unittest
from random import Random
from unittest import mock

from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord, EngineState
from primrosewood.clock import SystemClock
from primrosewood.enginekeeper import EngineKeeper
from primrosewood.engineview import EngineView
from primrosewood.entrycount import EntryCount
from primrosewood.errors import (
    BackendCutError,
    BackendPausedError,
    ErrorKind,
)
from primrosewood.metrics import Metrics
from primrosewood.movableengine import (
    EngineAbsentError,
    EngineLocation,
    EngineReading,
)
from primrosewood.moves import MoveNotices

_ADDRESS = '10.1.1.9:80'
_OLD_BOOT = 10
_BOOT = 20
_NEW = 'i-new'
# Services: that of the settings of the process, and another one.
_STATED = 'guide'
_OTHER = 'label'
_SERVICES = (_STATED, _OTHER)

_absent = EngineAbsentError('nothing listens')
_silent = BackendCutError('TimeoutError')
_paused = BackendPausedError(ErrorKind.overloaded, retry_seconds=3)

# What the process beside the engine sees at the address, in order; the last one
# remains.
_LOOKS = {
    'its first engine': (_absent, _absent, _BOOT),
    'its first engine, which was silent for a moment': (
        _absent,
        _BOOT,
        _silent,
        _BOOT,
    ),
    'a later engine': (_absent, _OLD_BOOT, _absent, _BOOT),
    'a later engine, no gap seen': (_absent, _OLD_BOOT, _BOOT),
    'freshly started, the engine is there': (_BOOT,),
    'freshly started, an engine is silent': (_silent, _absent, _BOOT),
    'freshly started, an engine rests': (_paused, _absent, _BOOT),
}
_FIRST = ('its first engine', 'its first engine, which was silent for a moment')


def _make_record(name, service, boot, address=_ADDRESS, **fields):
    return BackendRecord(name, service, address, 'd1', 8, boot=boot, **fields)


_OLD = _make_record('i-old', _STATED, _OLD_BOOT)
# Records that an entry read, and the names of those that it saw removed.
_RECORDS = {
    'none': ((), ()),
    'of the stated service': ((_make_record(_NEW, _STATED, _BOOT),), ()),
    'of another service': ((_make_record(_NEW, _OTHER, _BOOT),), ()),
    'of an earlier engine': ((_OLD,), ()),
    'of an earlier engine, removed': ((_OLD,), ('i-old',)),
    'of an earlier engine that was plain, removed': (
        (_make_record('i-old', 'desk', _OLD_BOOT),),
        ('i-old',),
    ),
    'of an engine elsewhere': (
        (_make_record('i-far', _OTHER, _BOOT, '10.1.1.8:80'),),
        (),
    ),
}
# Services for which the newcomer may be called, by its record; what remains
# depends on store and process.
_REGISTERED = {'of the stated service': _STATED, 'of another service': _OTHER}
_ADDRESS_IS_NEW = ('none', 'of an engine elsewhere')
_STORES = ('answers', 'away', 'away, read after the process began')


class _LookedAtEngine:
    """An engine address at which a process sees what a test lists."""

    address = _ADDRESS

    def __init__(self, looks):
        self._looks = list(looks)

    async def read(self):
        look = self._looks[0]
        if len(self._looks) > 1:
            self._looks.pop(0)
        if isinstance(look, Exception):
            raise look
        return EngineReading(EngineState(total_tokens=9000), boot=look)

    async def identify(self):
        return _NEW


class AnnouncedServiceTest(unittest.IsolatedAsyncioTestCase):
    """What may be done with an engine beside a process that states a service.

    Whatever is known of the address, by record, store and process.
    """

    async def look(self, looks):
        """Return what a process announces after it has seen all of a list."""
        keeper = EngineKeeper(
            _LookedAtEngine(looks),
            EngineLocation(_STATED, 'd1'),
            SystemClock(),
            Metrics(),
            Random(1),
        )
        keeper.server = mock.Mock(peers=1)
        work = [
            asyncio.create_task(each)
            for each in (keeper.run(), keeper.run_identification())
        ]
        await asyncio.sleep(0.2 * len(looks) + 0.6)
        for task in work:
            task.cancel()
        return keeper.found

    def make_view(self, records, store):
        now = SystemClock().monotonic()
        began_at = now if 'read after' in store else now - 60
        self.backends = BackendSet(EntryCount(1))
        self.backends.record_store_result(True, began_at)
        stated, removed = _RECORDS[records]
        for record in stated:
            self.backends.apply_record(record, now)
        for name in removed:
            # Long after any outage.
            self.backends.remove(name, now + 60)
        if store != 'answers':
            self.backends.record_store_result(False, now)
        connector = mock.Mock()
        connector.open.return_value = mock.Mock(silence=0.1)
        tables = mock.Mock()
        tables.engine_traits.return_value = mock.Mock(slots=24)
        tables.list_engine_services.return_value = list(_SERVICES)
        return EngineView(
            backends=self.backends,
            tables=tables,
            notices=mock.Mock(spec=MoveNotices),
            entries=EntryCount(1),
            connector=connector,
            clock=SystemClock(),
            link_port=7200,
            handle_other=lambda _message, _link: None,
        )

    def list_services(self, view):
        """Return the services for which the newcomer is used.

        By what is done: calls to it, moves to it, its load that is counted.
        """
        called = {
            service
            for service in _SERVICES
            if _NEW in {each.name for each in self.backends.usable(service)}
        }
        moved_to = {
            service
            for service in _SERVICES
            if _NEW
            in {each.name for each in view.engines_with_capacity(service)}
        }
        counted = {
            backend.record.service
            for backend in self.backends.list_address(_ADDRESS)
            if backend.name == _NEW
        }
        return {'call': called, 'move to': moved_to, 'count': counted}

    def expect(self, records, store, process):
        if records in _REGISTERED:
            return {_REGISTERED[records]}
        believed = (
            records in _ADDRESS_IS_NEW and store == 'away' and process in _FIRST
        )
        return {_STATED} if believed else set()

    async def test_service_of_an_engine(self):
        """Guards against calls for the service that had the address before."""
        found = dict(
            zip(
                _LOOKS,
                await asyncio.gather(*map(self.look, _LOOKS.values())),
                strict=True,
            )
        )
        for records, store, process in itertools.product(
            _RECORDS, _STORES, _LOOKS
        ):
            view = self.make_view(records, store)
            if found[process] is not None:
                view.handle_announcement(found[process], None)
            expected = self.expect(records, store, process)
            with self.subTest(records=records, store=store, process=process):
                self.assertEqual(
                    dict.fromkeys(('call', 'move to', 'count'), expected),
                    self.list_services(view),
                )

    async def test_process_that_was_frozen_at_its_start(self):
        """Guards against an engine that came and went unseen before."""
        with mock.patch('primrosewood.startwitness._MAX_UNSEEN_SECONDS', 0):
            self.assertIsNone(await self.look(_LOOKS['its first engine']))

    async def test_engine_that_takes_the_address_as_its_name_is_asked_for(self):
        """Guards against the name of one engine beside the start of another."""

        class Exchanged(_LookedAtEngine):
            async def identify(self):
                self._looks = [_BOOT]
                return 'i-old'

        with mock.patch(f'{__name__}._LookedAtEngine', Exchanged):
            found = await self.look((_absent, _OLD_BOOT))
        self.assertIsNone(found)


if __name__ == '__main__':
    unittest.main()
