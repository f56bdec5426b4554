"""Records among those of back ends that another writer has put there."""

import asyncio
import json
import unittest

from primrosewood.addresses import parse_address
from primrosewood.errors import WireError
from primrosewood.platform.documents import parse_backend
from primrosewood.platform.entrydocuments import (
    parse_crashes,
    parse_entry_count,
)
from standins.fleet import make_record

from .deployment import GENERATION_HEADERS, Deployment

_HUGE = 10**400
_CALLS = 30
_ODD_ADDRESSES = (
    '127.0.0.8:99999',
    '127.0.0.8:65536',
    '127.0.0.8:0',
    '.:80',
    '...:80',
    '1.2.3:80',
    '999.1.1.1:80',
    '127.0.0.8:',
    ':80',
)
_ODD_FIELDS = (
    {'slots': _HUGE},
    {'slots': 2**63},
    {'slots': 10**9},
    {'born': _HUGE},
    {'born': 2**63},
)


class AddressTest(unittest.TestCase):
    """Addresses that no connection can be made to."""

    def test_odd_addresses(self):
        """Guards against errors of other kinds where an address is used."""
        for address in (
            *_ODD_ADDRESSES,
            'a..b:80',
            'a b:80',
            'a:8\n',
            '',
            'a',
            'a' * 64 + ':1',
        ):
            with self.subTest(address), self.assertRaises(WireError):
                parse_address(address)

    def test_sound_addresses(self):
        for host in ('127.0.0.8', '10.1.0.19', 'e1', 'vm-1.example'):
            self.assertEqual((host, 65535), parse_address(f'{host}:65535'))


class RecordTest(unittest.TestCase):
    """Records that name no back end to use."""

    def test_odd_records(self):
        """Guards against calls that fail as a value cannot be used."""
        documents = [make_record('desk', address) for address in _ODD_ADDRESSES]
        documents += [
            make_record('desk', '127.0.0.8:1', **fields)
            for fields in _ODD_FIELDS
        ]
        for document in documents:
            with self.subTest(str(document)[:200]):
                with self.assertRaises(WireError):
                    parse_backend('i-odd', json.dumps(document).encode())

    def test_odd_numbers_of_other_entries(self):
        """Guards against limits that divide by what is no number of entries."""
        count = json.dumps({'entries': _HUGE}).encode()
        with self.assertRaises(WireError):
            parse_entry_count(count, 1)
        trials = json.dumps({'crashes': [], 'trials': {'s': _HUGE}}).encode()
        with self.assertRaises(WireError):
            parse_crashes(trials, 1)


class OddRecordTest(Deployment):
    """One odd record beside sound ones."""

    async def find_failures(self, **fields):
        """Return the statuses other than 200 while a record stands."""
        await self.register('i-odd', **fields)
        await asyncio.sleep(1.3)
        statuses = set()
        for number in range(_CALLS):
            name = f'a{number:03}'
            if number % 2:
                call = self.status('POST', '/guide/', name, GENERATION_HEADERS)
            else:
                call = self.status('GET', '/lookup/', name)
            statuses.add(await call)
        self.assertFalse(self.entry.done())
        return statuses - {200}

    async def test_port_out_of_range(self):
        """Guards against one record that costs the calls of its neighbours."""
        failures = await self.find_failures(
            service='desk', address='127.0.0.8:99999'
        )
        self.assertEqual(set(), failures)

    async def test_host_that_is_no_address(self):
        """Guards against an address that no library can parse."""
        failures = await self.find_failures(service='desk', address='.:80')
        self.assertEqual(set(), failures)

    async def test_number_too_large(self):
        """Guards against a number that no float can hold."""
        failures = await self.find_failures(
            service='desk', address='127.0.0.8:1', slots=_HUGE
        )
        self.assertEqual(set(), failures)
