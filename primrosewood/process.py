"""What all binaries share: settings, logs, signals, planned stops."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from .config import (
    ProcessConfig,
    load_config,
    load_node_settings,
    require_section,
)
from .errors import SettingsInvalidError
from .gen_node import NodeSettings
from .logs import configure_logs, log_event
from .reload import Node, SettingsReloader, digest_settings

__all__ = (
    'log_unexpected_error',
    'run_node',
    'run_process',
    'spawn',
)

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_INVALID_SETTINGS = 2

_background: set[asyncio.Task] = set()

Settings = TypeVar('Settings')
Main = Callable[[ProcessConfig, asyncio.Event], Awaitable[None]]


def spawn(work: Awaitable[None], name: str) -> asyncio.Task:
    """Run work in the background and log it when it fails."""
    task = asyncio.ensure_future(work)
    task.set_name(name)
    _background.add(task)
    task.add_done_callback(_note_end)
    return task


def log_unexpected_error(work: str, error: BaseException) -> None:
    """Log an error that nothing expected, without its text.

    The text may hold a caller's data; the place where it arose does not.
    """
    log_event(
        'unexpected_error',
        'ERROR',
        work=work,
        error=type(error).__name__,
        place=_place_of(error),
    )


def run_process(main: Main, role: str, settings: str, check: bool) -> None:
    """Run one of the processes, or only check its settings.

    Parameters
    ----------
    main
        Runs until the event is set, then stops gracefully.
    role
        Section of the settings that the process needs.
    settings
        Path of the local settings file.
    check
        Whether to stop after the check.
    """
    config = _load_or_exit(lambda: _load(settings, role))
    if check:
        sys.stdout.write('settings are valid\n')
        return
    configure_logs(config.settings.name, config.settings.log_level)
    domain = config.settings.failure_domain
    asyncio.run(_run_until_signal(partial(main, config), domain))


def _load(path: str, role: str) -> ProcessConfig:
    config = load_config(path)
    require_section(config.settings, role)
    return config


def _load_or_exit(load: Callable[[], Settings]) -> Settings:
    try:
        return load()
    except SettingsInvalidError as error:
        for fault in error.faults:
            sys.stderr.write(f'{fault}\n')
        sys.exit(_INVALID_SETTINGS)


def run_node(
    path: str, role: str, make: Callable[[NodeSettings], Node]
) -> None:
    """Run a program that calls back ends directly.

    Parameters
    ----------
    path
        The settings file; it is read again when SIGHUP comes or it changes.
    role
        Section that the program needs.
    make
        Returns the program.
    """
    load = partial(load_node_settings, path, role)
    settings = _load_or_exit(load)
    configure_logs(settings.name)
    node = make(settings)
    reloader = SettingsReloader(path, load, node, settings)
    asyncio.run(_run_node(node, reloader, settings))
    _end_at_once()


def _end_at_once() -> None:
    """End without taking the interpreter apart.

    That takes 0.25 s where a processor is short, and the platform kills what
    is there when the time for a stop is over.  Nothing is left to write: log
    lines are never buffered here for their reader.
    """
    os._exit(0)


async def _run_node(
    node: Node, reloader: SettingsReloader, settings: NodeSettings
) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    looking = spawn(reloader.run(), 'settings')
    try:
        await _run_until_signal(
            node.run, settings.failure_domain, digest_settings(settings)
        )
    finally:
        looking.cancel()


async def _run_until_signal(
    run: Callable[[asyncio.Event], Awaitable[None]],
    failure_domain: str,
    digest: str = '',
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    log_event('started', failure_domain=failure_domain, digest=digest or None)
    await run(stop)
    log_event('stopped')


def _note_end(task: asyncio.Task) -> None:
    _background.discard(task)
    if not task.cancelled() and task.exception() is not None:
        log_unexpected_error(task.get_name(), task.exception())


def _place_of(error: BaseException) -> str:
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ''
    name = trace.tb_frame.f_code.co_filename.rpartition('/')[2]
    return f'{name}:{trace.tb_lineno}'
