"""Tests of local settings, key files and TLS contexts."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

import trustme
import websockets
from websockets.asyncio.client import connect

from primrosewood import gen_wire as wire
from primrosewood.codec import parse_frame, serialise_frame
from primrosewood.config import check_document, load_config, make_tls_contexts
from primrosewood.errors import SettingsInvalidError
from primrosewood.gen_process import Limits, Listen, TlsSettings
from primrosewood.linkserver import LinkServer, LinkServerCallbacks
from primrosewood.metrics import Metrics
from primrosewood.settings import SettingsStore

from .processes.harness import free_port

_KEYS = {'process_key': 'p' * 16, 'signing_key': 's' * 16}
_PROCESS = {
    'name': 'entry-1',
    'failure_domain': 'abertawe',
    'store_url': 'http://127.0.0.1:1',
    'key_file': 'keys.json',
}


class LoadTest(unittest.TestCase):
    """Validation of files, with the path of each fault."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / 'keys.json').write_text(json.dumps(_KEYS))

    def load(self, **changes):
        file = self.folder / 'process.json'
        file.write_text(json.dumps({**_PROCESS, **changes}))
        return load_config(str(file))

    def faults(self, **changes):
        with self.assertRaises(SettingsInvalidError) as caught:
            self.load(**changes)
        return caught.exception.faults

    def test_defaults(self):
        config = self.load()
        self.assertEqual(2.5, config.settings.timing.silence_seconds)
        self.assertFalse(config.settings.tls)

    def test_every_fault_has_its_path(self):
        faults = self.faults(
            timing={'poll_seconds': 0}, limits={'body_bytes': 'x'}, typo=1
        )
        self.assertEqual(3, len(faults))
        for path in ('/timing/poll_seconds: ', '/limits/body_bytes: '):
            self.assertTrue(any(each.startswith(path) for each in faults))

    def test_missing_files_and_invalid_json(self):
        self.assertIn('none.json', self.faults(key_file='none.json')[0])
        (self.folder / 'bad.json').write_text('{')
        self.assertIn('bad.json', self.faults(key_file='bad.json')[0])

    def test_short_keys_are_rejected(self):
        (self.folder / 'keys.json').write_text(
            json.dumps({**_KEYS, 'process_key': 'short'})
        )
        self.assertTrue(self.faults()[0].startswith('/process_key'))

    def test_invalid_service_name(self):
        with self.assertRaises(SettingsInvalidError):
            check_document(
                {'services': {'Bad Name': {'kind': 'model'}}}, 'team'
            )


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Connections with certificates of the team's own authority."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        authority = trustme.CA()
        authority.cert_pem.write_to_path(self.folder / 'authority.pem')
        issued = authority.issue_cert('127.0.0.1')
        issued.private_key_pem.write_to_path(self.folder / 'key.pem')
        issued.cert_chain_pems[0].write_to_path(self.folder / 'cert.pem')
        self.tls = TlsSettings('cert.pem', 'key.pem', 'authority.pem')

    async def test_connection_with_tls(self):
        """A peer that trusts the authority connects, another one does not."""
        server_tls, client_tls = make_tls_contexts(self.tls, self.folder)
        load = wire.Load(running=0, queued=0, limit=1)
        welcome = wire.Welcome('e1', 'i', 'd', load)
        side = LinkServerCallbacks(
            lambda: welcome, lambda: load, lambda *_: None, lambda _: None
        )
        server = LinkServer(
            SettingsStore(), 'key-of-the-processes', side, Metrics()
        )
        port = free_port()
        url = f'wss://127.0.0.1:{port}'
        async with server.listen(Listen(port), Limits(), server_tls):
            async with connect(url, ssl=client_tls) as socket:
                hello = wire.Hello('p', 'i', 'key-of-the-processes')
                await socket.send(serialise_frame([hello]))
                answer = await asyncio.wait_for(socket.recv(), 5)
                self.assertEqual([welcome], parse_frame(answer))
            with self.assertRaises((OSError, websockets.WebSocketException)):
                async with connect(url):
                    self.fail('an unknown authority was trusted')

    def test_no_contexts_without_certificate(self):
        self.assertEqual((None, None), make_tls_contexts(None, self.folder))
