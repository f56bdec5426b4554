"""Links to engines that come and go every few seconds, before many entries."""

import unittest
from unittest import mock

from primrosewood import gen_wire as wire
from primrosewood.backendset import BackendRecord, BackendSet
from primrosewood.clock import SystemClock
from primrosewood.engineview import EngineView
from primrosewood.moves import MoveNotices
from primrosewood.sharedlimits import EntryCount

_ENGINES = 31
_FOUND = wire.EngineFound('i-new', '10.1.1.99:80', 's', 'd1')


class _FakeLink:
    """A link that records what is sent on it."""

    def __init__(self):
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

    def open(self, _url, _handle):
        self.links.append(_FakeLink())
        return self.links[-1]


class AnnouncedEngineTest(unittest.TestCase):
    """What an entry sends when a new engine announces itself there."""

    def setUp(self):
        entries = EntryCount(68)
        backends = BackendSet(entries)
        self.connector = _FakeConnector()
        tables = mock.Mock()
        tables.engine_traits.return_value = mock.Mock(slots=24)
        self.view = EngineView(
            backends=backends,
            tables=tables,
            notices=MoveNotices(),
            entries=entries,
            connector=self.connector,
            clock=SystemClock(),
            link_port=7200,
            handle_other=lambda _message, _link: None,
        )
        for number in range(_ENGINES):
            record = BackendRecord(
                f'i-{number}', 's', f'10.1.1.{number}:80', 'd1', 24
            )
            backends.apply_record(record, 0.0)
        self.view.update()

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


if __name__ == '__main__':
    unittest.main()
