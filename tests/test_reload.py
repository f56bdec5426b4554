"""Tests of reloading a settings file while a program runs."""

import json
import tempfile
import unittest
from pathlib import Path

from primrosewood.config import load_node_settings
from primrosewood.reload import SettingsReloader

from .processes.test_platform import make_settings


class _Node:
    """Records the limits that it is asked to apply."""

    def __init__(self):
        self.limits = []

    def reload(self, settings):
        self.limits.append(settings.limits.repeat_slack)


class ReloaderTest(unittest.TestCase):
    """Changes that are applied, deferred or rejected."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / 'node.json'
        self.settings = make_settings()
        self.write(self.settings)
        self.node = _Node()
        self.reloader = SettingsReloader(
            str(self.file), self.load, self.node, self.load()
        )

    def load(self):
        return load_node_settings(str(self.file), 'entry')

    def write(self, settings):
        self.file.write_text(json.dumps(settings))

    def change(self, slack, **fields):
        limits = {**self.settings['limits'], 'repeat_slack': slack}
        self.write({**self.settings, 'limits': limits, **fields})
        self.reloader.reload()

    def test_limits_are_applied(self):
        self.change(7)
        self.change(7)
        self.change(9)
        self.assertEqual([7, 9], self.node.limits)

    def test_addresses_need_a_restart(self):
        self.change(50, host='127.0.0.2')
        self.assertEqual([], self.node.limits)

    def test_invalid_file_is_rejected(self):
        """An operator's template drops a field for a moment.

        The process keeps its settings and applies the next valid file.
        """
        for text in ('{', '{}', '[1]', '{"name": 5}'):
            self.file.write_text(text)
            self.reloader.reload()
        self.file.unlink()
        self.reloader.reload()
        self.assertEqual([], self.node.limits)
        self.change(8)
        self.assertEqual([8], self.node.limits)
