"""Reloads a process's settings file while the process runs."""

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

# The file may be replaced without a signal to the process. Checking its
# modification time takes a few microseconds, and changed limits may take effect
# this late.
_POLL_SECONDS = 1.0
# The field that a running process can apply. Other changes need a restart;
# addresses, for example, are those of its VM.
_RELOADABLE_FIELD = 'limits'

# Modification time in nanoseconds, size and inode of a file.
FileVersion = tuple[int, int, int]


class Node(Protocol):
    """A program that runs until it is stopped and can reload its limits."""

    async def run(self, stop: asyncio.Event) -> None:
        """Run until the event is set, then shut down gracefully."""

    def reload(self, settings: NodeSettings) -> None:
        """Apply the limits of changed settings."""


class SettingsReloader:
    """Watches a settings file and applies valid changes to the program.

    Parameters
    ----------
    path
        Path of the settings file.
    load
        Reads and validates it.
    node
        Program that applies changed limits.
    running
        Settings with which the program started.
    """

    def __init__(
        self,
        path: str,
        load: Callable[[], NodeSettings],
        node: Node,
        running: NodeSettings,
    ) -> None:
        """Assume that the file currently holds the running settings."""
        self._path = Path(path)
        self._load = load
        self._node = node
        self._running = running
        self._file_version = self._read_file_version()

    async def run(self) -> None:
        """Poll the file for changes until cancelled."""
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            if self._read_file_version() != self._file_version:
                self.reload()

    def reload(self) -> None:
        """Read the file and apply it; keep the old settings if invalid."""
        self._file_version = self._read_file_version()
        try:
            loaded = self._load()
        except SettingsInvalidError as error:
            log_event('reload_refused', 'ERROR', why=error)
            return
        changed = _list_changed_fields(self._running, loaded)
        if _RELOADABLE_FIELD in changed:
            self._node.reload(loaded)
        self._running = loaded
        pending = ','.join(
            name for name in changed if name != _RELOADABLE_FIELD
        )
        log_event(
            'reloaded',
            digest=digest_settings(loaded),
            changed=bool(changed),
            needs_restart=pending or None,
        )

    def _read_file_version(self) -> FileVersion | None:
        try:
            status = self._path.stat()
        except OSError:
            # The file may be in the middle of a replacement. If it is missing
            # for good, loading it reports the error.
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino


def digest_settings(settings: NodeSettings) -> str:
    """Return a short digest that identifies settings in logs."""
    return xxhash.xxh32_hexdigest(msgspec.json.encode(settings))


def _list_changed_fields(
    running: NodeSettings, loaded: NodeSettings
) -> list[str]:
    return [
        name
        for name in running.__struct_fields__
        if getattr(running, name) != getattr(loaded, name)
    ]
