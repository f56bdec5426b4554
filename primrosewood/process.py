"""Common code of all programs: settings, logs, signals, graceful shutdown."""

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
    'run_step',
    'spawn',
    'spawn_restarting',
)

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_EXIT_INVALID_SETTINGS = 2
_RESTART_SECONDS = 0.5

_background_tasks: set[asyncio.Task] = set()

LoadedSettings = TypeVar('LoadedSettings')
ProcessMain = Callable[[ProcessConfig, asyncio.Event], Awaitable[None]]


def spawn(work: Awaitable[None], name: str) -> asyncio.Task:
    """Run a coroutine as a background task and log its failure."""
    task = asyncio.ensure_future(work)
    task.set_name(name)
    _background_tasks.add(task)
    task.add_done_callback(_handle_task_end)
    return task


def spawn_restarting(
    work: Callable[[], Awaitable[None]], name: str
) -> asyncio.Task:
    """Run work that never ends; after an unexpected error it begins again."""
    return spawn(_restart_after_errors(work, name), name)


def run_step(step: Callable[[], object], name: str) -> None:
    """Run a step of periodic work and log its failure.

    An error in one step must not end the steps after it, or the next round.
    """
    try:
        step()
    except Exception as error:
        log_unexpected_error(name, error)


def log_unexpected_error(work: str, error: BaseException) -> None:
    """Log an unexpected error by its type and location, without its message.

    The message may contain data of a caller.
    """
    log_event(
        'unexpected_error',
        'ERROR',
        work=work,
        error=type(error).__name__,
        place=_error_location(error),
    )


def run_process(
    main: ProcessMain, role: str, settings: str, check: bool
) -> None:
    """Run an entry or endpoint process, or only check its settings.

    Parameters
    ----------
    main
        Runs the process until the event is set, then shuts down gracefully.
    role
        Section that the settings must have.
    settings
        Path of the local settings file.
    check
        Whether to exit after checking the settings.
    """
    config = _load_or_exit(lambda: _load_process_config(settings, role))
    if check:
        sys.stdout.write('settings are valid\n')
        return
    configure_logs(config.settings.name, config.settings.log_level)
    domain = config.settings.failure_domain
    asyncio.run(_run_until_signal(partial(main, config), domain))


def _load_process_config(path: str, role: str) -> ProcessConfig:
    config = load_config(path)
    require_section(config.settings, role)
    return config


def _load_or_exit(load: Callable[[], LoadedSettings]) -> LoadedSettings:
    try:
        return load()
    except SettingsInvalidError as error:
        for fault in error.faults:
            sys.stderr.write(f'{fault}\n')
        sys.exit(_EXIT_INVALID_SETTINGS)


def run_node(
    path: str, role: str, make: Callable[[NodeSettings], Node]
) -> None:
    """Run a program that calls back ends directly.

    Parameters
    ----------
    path
        Path of the settings file, which is reloaded on SIGHUP and when the
        file changes.
    role
        Section that the settings must have.
    make
        Creates the node from the settings.
    """
    load = partial(load_node_settings, path, role)
    settings = _load_or_exit(load)
    configure_logs(settings.name)
    node = make(settings)
    reloader = SettingsReloader(path, load, node, settings)
    asyncio.run(_run_node(node, reloader, settings))
    _exit_immediately()


def _exit_immediately() -> None:
    """Exit without finalising the interpreter.

    Finalisation takes 0.25 s where CPU time is scarce, and the platform kills
    processes that exceed the time limit for a stop. Nothing is left to flush:
    log lines are never buffered in the process for a slow reader.
    """
    os._exit(0)


async def _run_node(
    node: Node, reloader: SettingsReloader, settings: NodeSettings
) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    reload_task = spawn(reloader.run(), 'settings')
    try:
        await _run_until_signal(
            node.run, settings.failure_domain, digest_settings(settings)
        )
    finally:
        reload_task.cancel()


async def _run_until_signal(
    run: Callable[[asyncio.Event], Awaitable[None]],
    failure_domain: str,
    digest: str = '',
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in _STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, stop.set)
    log_event('started', failure_domain=failure_domain, digest=digest or None)
    await run(stop)
    log_event('stopped')


async def _restart_after_errors(
    work: Callable[[], Awaitable[None]], name: str
) -> None:
    while True:
        try:
            await work()
        except Exception as error:
            log_unexpected_error(name, error)
        await asyncio.sleep(_RESTART_SECONDS)


def _handle_task_end(task: asyncio.Task) -> None:
    _background_tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        log_unexpected_error(task.get_name(), task.exception())


def _error_location(error: BaseException) -> str:
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return ''
    name = traceback.tb_frame.f_code.co_filename.rpartition('/')[2]
    return f'{name}:{traceback.tb_lineno}'
