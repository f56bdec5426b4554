"""Changes of a process's settings file while it runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec
import xxhash

from .errors import SettingsInvalidError
from .gen_node import NodeSettings
from .logs import log_event

__all__ = ('Node', 'SettingsReloader', 'digest_settings')

# The file may change without a signal; asking for its time costs a few
# microseconds, and bounds may wait this long.
_LOOK_SECONDS = 1.0
# What a running process takes on; addresses are those of its VM.
_TAKEN = 'limits'

Stamp = tuple[int, int, int]


class Node(Protocol):
    """A program that runs until it is asked to stop."""

    async def run(self, stop: asyncio.Event) -> None:
        """Run until the event is set, then end gracefully."""

    def reload(self, settings: NodeSettings) -> None:
        """Take on the limits of changed settings."""


class SettingsReloader:
    """Follows a settings file and hands valid changes to the program.

    Parameters
    ----------
    path
        The settings file.
    load
        Reads and checks it.
    node
        Takes changed settings on.
    running
        The settings with which the program began.
    """

    def __init__(
        self,
        path: str,
        load: Callable[[], NodeSettings],
        node: Node,
        running: NodeSettings,
    ) -> None:
        """Take the file as it is for the settings that run."""
        self._path = Path(path)
        self._load = load
        self._node = node
        self._running = running
        self._stamp = self._read_stamp()

    async def run(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_SECONDS)
            if self._read_stamp() != self._stamp:
                self.reload()

    def reload(self) -> None:
        """Read the file; keep what runs where it does not hold."""
        self._stamp = self._read_stamp()
        try:
            found = self._load()
        except SettingsInvalidError as error:
            log_event('reload_refused', 'ERROR', why=error)
            return
        changed = _list_changed(self._running, found)
        if _TAKEN in changed:
            self._node.reload(found)
        self._running = found
        waiting = ','.join(name for name in changed if name != _TAKEN)
        log_event(
            'reloaded',
            digest=digest_settings(found),
            changed=bool(changed),
            needs_restart=waiting or None,
        )

    def _read_stamp(self) -> Stamp | None:
        try:
            found = self._path.stat()
        except OSError:
            # A file that is being replaced; reading it says more.
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino


def digest_settings(settings: NodeSettings) -> str:
    """Return a short digest by which logs tell settings apart."""
    return xxhash.xxh32_hexdigest(msgspec.json.encode(settings))


def _list_changed(running: NodeSettings, found: NodeSettings) -> list[str]:
    return [
        name
        for name in running.__struct_fields__
        if getattr(running, name) != getattr(found, name)
    ]
