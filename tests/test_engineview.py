"""Links to engines that come and go every few seconds, before many entries."""

import unittest
from unittest import mock

from msgspec import structs

from primrosewood import gen_wire as wire
from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord
from primrosewood.backpressure import AnswerNotice
from primrosewood.clock import SystemClock
from primrosewood.engineview import EngineView
from primrosewood.entrycount import EntryCount
from primrosewood.moves import MoveNotices

_ENGINES = 31
_BOOT = 7
_FOUND = wire.EngineFound(
    'i-new', '10.1.1.99:80', 's', 'd1', boot=8, process_seconds=1
)


class _FakeLink:
    """A link that records what is sent on it."""

    def __init__(self, url, handle):
        self.url = url
        self.receive = handle
        self.sent = []
        self.silence = 0.1
        self.connected = True

    def send(self, message):
        if self.connected:
            self.sent.append(message)
        return self.connected


class _FakeConnector:
    """Opens fake links and keeps them in order."""

    def __init__(self):
        self.links = []

    def open(self, url, handle):
        self.links.append(_FakeLink(url, handle))
        return self.links[-1]

    def find(self, host):
        (link,) = (each for each in self.links if f'//{host}:' in each.url)
        return link


class _EngineViewCase(unittest.TestCase):
    """An entry with links to 31 engines."""

    def setUp(self):
        entries = EntryCount(68)
        self.backends = BackendSet(entries)
        # Past the time in which removals count as the work of an outage.
        self.backends.record_store_result(True, -60.0)
        self.connector = _FakeConnector()
        self.notices = mock.Mock(spec=MoveNotices)
        tables = mock.Mock()
        tables.engine_traits.return_value = mock.Mock(slots=24)
        tables.list_engine_services.return_value = ['s']
        self.view = EngineView(
            backends=self.backends,
            tables=tables,
            notices=self.notices,
            entries=entries,
            connector=self.connector,
            clock=SystemClock(),
            link_port=7200,
            handle_other=lambda _message, _link: None,
        )
        for number in range(_ENGINES):
            record = BackendRecord(
                f'i-{number}', 's', f'10.1.1.{number}:80', 'd1', 24, boot=_BOOT
            )
            self.backends.apply_record(record, 0.0)
        self.view.update()


class KeptRetriesTest(_EngineViewCase):
    """Whether a process beside an engine keeps retries reported now."""

    def silence(self, links):
        for link in links:
            link.silence = 9.0

    def report(self):
        link = self.connector.links[0]
        link.receive(wire.EngineReport(0, 0, 0, 9000, boot=_BOOT), link)

    def test_some_are_silent(self):
        self.report()
        self.silence(self.connector.links[1:])
        self.assertTrue(self.view.keeps_retries())

    def test_all_are_silent(self):
        """Guards against retries of which the next process hears nothing."""
        self.report()
        self.silence(self.connector.links)
        self.assertFalse(self.view.keeps_retries())

    def test_none_was_ever_heard(self):
        """Guards against a tenth of a share for good without such processes."""
        self.silence(self.connector.links)
        self.assertTrue(self.view.keeps_retries())


class AnnouncedEngineTest(_EngineViewCase):
    """What an entry sends when a new engine announces itself there."""

    def setUp(self):
        super().setUp()
        self.backends.record_store_result(False, SystemClock().monotonic())

    def messages(self):
        return [each for link in self.connector.links for each in link.sent]

    def test_announcement_is_forwarded_by_a_few(self):
        """Guards against 31 endpoint processes that each tell 68 entries.

        With three seeds that made 6,300 messages for each new engine.
        """
        self.view.handle_announcement(_FOUND, None)
        self.assertEqual([_FOUND] * 3, self.messages())

    def test_announcement_is_forwarded_once(self):
        """The engine announces itself twice a second."""
        for _ in range(5):
            self.view.handle_announcement(_FOUND, None)
        self.assertEqual(3, len(self.messages()))

    def test_announcement_without_an_age(self):
        """Guards against belief in a process that vouches for nothing."""
        for seconds in (-1, float('-inf'), float('nan'), float('inf')):
            with self.subTest(seconds):
                found = structs.replace(_FOUND, process_seconds=seconds)
                self.assertFalse(self.view.register_engine(found))
        found = structs.replace(_FOUND, boot=0)
        self.assertFalse(self.view.register_engine(found))

    def test_lost_vms_are_not_relied_on(self):
        """A zone has just lost power: its links are silent, not closed yet.

        Guards against updates that are sent to processes which are gone.
        """
        links = self.connector.links
        for link in links[:7]:
            link.silence = 1.5
        for link in links[7:12]:
            link.connected = False
        for _ in range(10):
            self.assertTrue(self.view.send_to_one(_FOUND))
        self.assertFalse(any(link.sent for link in links[:12]))
        self.assertEqual(10, len(self.messages()))

    def test_silent_links_are_used_if_there_are_no_others(self):
        """An entry that is cut off from all engines cannot know it yet."""
        for link in self.connector.links:
            link.silence = 1.5
        self.assertTrue(self.view.send_to_one(_FOUND))


class ReportTest(_EngineViewCase):
    """To which engine a report of the process at an address applies."""

    def report(self, boot, leaving=False):
        report = wire.EngineReport(1, 0, 0, 9000, leaving=leaving, boot=boot)
        self.connector.find('10.1.1.5').receive(report, None)

    def register_successor(self):
        record = BackendRecord(
            'i-next', 's', '10.1.1.5:80', 'd1', 24, boot=_BOOT + 1, revision=9
        )
        return self.backends.apply_record(record, 0.0)

    def test_report_on_the_engine_before(self):
        """Guards against an engine that gets no calls as another has left."""
        successor = self.register_successor()
        self.report(_BOOT)
        self.report(0, leaving=True)
        self.assertIsNone(successor.state)
        self.assertTrue(self.backends.find('i-5').state.leaving)

    def test_report_on_the_engine_that_took_over(self):
        self.report(_BOOT)
        successor = self.register_successor()
        self.report(_BOOT + 1)
        self.report(0, leaving=True)
        self.assertTrue(successor.state.leaving)
        self.assertFalse(self.backends.find('i-5').state.leaving)

    def list_usable(self):
        return {each.name for each in self.backends.usable('s')}

    def test_later_start_under_the_name_of_a_record(self):
        """Guards against calls to an engine that came back for another service.

        Its process was frozen, or cut off from this entry, as it was exchanged.
        """
        self.report(_BOOT + 1)
        self.assertNotIn('i-5', self.list_usable())
        record = BackendRecord(
            'i-5', 'label', '10.1.1.5:80', 'd1', 24, boot=_BOOT + 1
        )
        self.backends.apply_record(record, 0.0)
        self.report(_BOOT + 1)
        usable = self.backends.usable('label')
        self.assertEqual(['i-5'], [each.name for each in usable])
        self.assertNotIn('i-5', self.list_usable())

    def test_late_report_on_an_engine_whose_clock_was_ahead(self):
        """Guards against an engine that gets no calls for its lifetime."""
        self.report(_BOOT + 1)
        self.report(_BOOT)
        self.assertIn('i-5', self.list_usable())

    def test_report_without_a_start(self):
        """Guards against a report of an older process taken for either."""
        self.report(0)
        self.assertIsNotNone(self.backends.find('i-5').state)
        successor = self.register_successor()
        self.report(0, leaving=True)
        self.assertIsNone(successor.state)
        self.assertFalse(self.backends.find('i-5').state.leaving)


class TargetQueryTest(_EngineViewCase):
    """Whether an engine takes calls, asked right before a last copy."""

    def query(self, service='s', name='i-5', boot=_BOOT):
        link = mock.Mock()
        address = '10.1.1.5:80'
        query = wire.TargetQuery(service, address, name, boot)
        self.connector.find('10.1.1.0').receive(query, link)
        return [each.args[0].takes_calls for each in link.send.call_args_list]

    def test_engine_that_takes_calls(self):
        self.assertEqual([True], self.query())

    def test_other_back_ends_at_its_address(self):
        """Guards against a copy for an engine of another name or start."""
        self.assertEqual([False], self.query(boot=_BOOT - 1))
        self.assertEqual([False], self.query(service='registry'))
        self.assertEqual([False], self.query(boot=0))
        self.assertEqual([False], self.query(name=''))

    def test_engine_that_is_not_known_here(self):
        self.assertEqual([], self.query(name='i-99'))


class CapacityQueryTest(_EngineViewCase):
    """For which service an entry offers engines to a leaving one."""

    def register_successor(self):
        """Register an engine of another service at an address of this one."""
        for number, address in ((5, '10.1.1.5:80'), (77, '10.1.1.77:80')):
            record = BackendRecord(
                f'i-label-{number}', 'label', address, 'd1', 24, boot=_BOOT + 1
            )
            self.backends.apply_record(record, 0.0)

    def query(self, boot, service=''):
        link = mock.Mock()
        query = wire.CapacityQuery(service, boot)
        self.connector.find('10.1.1.5').receive(query, link)
        ((reply,), _fields) = link.send.call_args
        return reply

    def test_engine_after_another_service(self):
        """Guards against targets of the service that had the address."""
        self.register_successor()
        reply = self.query(_BOOT + 1, 's')
        self.assertEqual(
            ('label', 'i-label-5', _BOOT + 1),
            (reply.service, reply.name, reply.boot),
        )
        names = {each.name for each in reply.engines}
        self.assertEqual({'i-label-5', 'i-label-77'}, names)

    def test_engine_whose_record_is_gone(self):
        """Guards against a leaving engine without targets.

        Some lose their record before they end.
        """
        self.backends.remove('i-5', 0.0)
        reply = self.query(_BOOT)
        self.assertEqual(('s', 'i-5'), (reply.service, reply.name))
        self.assertEqual(_ENGINES - 1, len(reply.engines))

    def test_engine_that_is_not_known(self):
        """Guards against targets by what the process beside it was told."""
        reply = self.query(_BOOT + 1, 's')
        self.assertEqual(wire.CapacityReply([]), reply)

    def test_process_of_an_older_build(self):
        """Guards against streams that are cut while builds are exchanged."""
        report = wire.EngineReport(1, 0, 0, 9000, boot=_BOOT)
        self.connector.find('10.1.1.5').receive(report, None)
        reply = self.query(0, 's')
        self.assertEqual(_ENGINES, len(reply.engines))


class OfferedEngineTest(_EngineViewCase):
    """Which engines an entry offers as targets of moves."""

    def test_engines_are_offered_with_their_identity(self):
        """Guards against targets that are known by their address only."""
        self.backends.record_store_result(False, SystemClock().monotonic())
        self.view.register_engine(structs.replace(_FOUND, boot=0))
        offered = self.view.engines_with_capacity('s')
        self.assertEqual(_ENGINES, len(offered))
        self.assertEqual({_BOOT}, {each.boot for each in offered})
        found = structs.replace(
            _FOUND, name='i-newer', address='10.1.1.98:80', boot=9
        )
        self.view.register_engine(found)
        offered = self.view.engines_with_capacity('s')
        self.assertIn(
            ('i-newer', 9), {(each.name, each.boot) for each in offered}
        )


class MovedCopyTest(_EngineViewCase):
    """Notices of moves, as processes beside engines send them."""

    def receive(self, **fields):
        self.notices.post.reset_mock()
        moved = wire.RunMoved(
            attempt='r', source='10.1.1.0:80', handle='h', target='10.1.1.5:80'
        )
        moved = structs.replace(moved, **fields)
        self.connector.find('10.1.1.0').receive(moved, None)
        return self.notices.post.call_args.args[0].copy

    def test_copy_with_its_holder(self):
        copy = self.receive(service='s', target_name='i-5', target_boot=_BOOT)
        holder = self.backends.find_identity(copy.target)
        self.assertEqual(('h', 'i-5'), (copy.handle, holder.name))

    def test_copy_without_a_complete_identity(self):
        """Guards against whatever back end has the address by now."""
        complete = {'service': 's', 'target_name': 'i-5', 'target_boot': _BOOT}
        for missing, empty in (
            ('service', ''),
            ('target_name', ''),
            ('target_boot', 0),
        ):
            with self.subTest(missing):
                self.assertIsNone(self.receive(**{**complete, missing: empty}))


class ReceivingEngineTest(_EngineViewCase):
    """Which engines an entry offers to those that leave at the same time."""

    def report(self, number, copying_to):
        report = wire.EngineReport(
            running=3,
            queued=0,
            used_tokens=9000,
            total_tokens=34_312,
            leaving=True,
            entries=68,
            copying_to=copying_to,
        )
        # Links are opened in no order.
        self.connector.find(f'10.1.1.{number}').receive(report, None)

    def receiving(self):
        return [
            each.address
            for each in self.view.engines_with_capacity('s')
            if each.receiving
        ]

    def test_target_of_a_copy_is_marked_until_the_copy_ends(self):
        """Guards against copies of several engines that meet at one."""
        self.report(0, '10.1.1.5:80')
        self.assertEqual(['10.1.1.5:80'], self.receiving())
        self.report(0, '')
        self.assertEqual([], self.receiving())

    def test_target_is_marked_after_the_source_is_removed(self):
        """Engines that leave without a word lose their record first."""
        self.backends.remove('i-0', 0.0)
        self.report(0, '10.1.1.5:80')
        self.assertEqual(['10.1.1.5:80'], self.receiving())

    def test_paused_and_leaving_engines_are_no_targets(self):
        """Guards against copies to engines that take no calls."""
        now = SystemClock().monotonic()
        for number, notice in (
            (1, AnswerNotice(pause_seconds=3)),
            (2, AnswerNotice(leaving=True)),
        ):
            engine = self.backends.find(f'i-{number}')
            engine.backpressure.heed(engine.name, notice, now)
        offered = {
            each.address for each in self.view.engines_with_capacity('s')
        }
        self.assertEqual(_ENGINES - 2, len(offered))
        self.assertFalse({'10.1.1.1:80', '10.1.1.2:80'} & offered)

    def test_engine_that_is_gone_marks_no_target(self):
        """The last report of an engine stays; its copy has ended with it."""
        with mock.patch('primrosewood.engineview._COPY_REPORT_SECONDS', 0):
            self.report(0, '10.1.1.5:80')
            self.assertEqual([], self.receiving())


if __name__ == '__main__':
    unittest.main()
