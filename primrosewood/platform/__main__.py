"""Command line of the entry and endpoint processes on the platform."""

import os
import signal
import sys

# A process that is told of changed settings before it has read any goes on to
# read them.  Until then the signal would end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..process import run_node  # noqa: E402

__all__ = ('main',)

_SETTINGS_FILE_VARIABLE = 'PRIMROSEWOOD_NODE_FILE'
_USAGE = 'usage: python -m primrosewood.platform entry|endpoint\n'
_USAGE_ERROR = 2


def main(role: str) -> None:
    """Run one process until it is stopped.

    The environment variable ``PRIMROSEWOOD_NODE_FILE`` names its settings
    file.

    Parameters
    ----------
    role
        ``entry`` or ``endpoint``.
    """
    # Each process imports only the modules of its role, as the platform
    # charges for memory.
    if role == 'entry':
        from .entry import EntryNode as Node  # noqa: WPS433
    else:
        from .endpoint import EndpointNode as Node  # noqa: WPS433
    settings_path = os.environ.get(_SETTINGS_FILE_VARIABLE, '')
    run_node(settings_path, role, Node)


if __name__ == '__main__':
    if len(sys.argv) != 2 or sys.argv[1] not in {'entry', 'endpoint'}:
        sys.stderr.write(_USAGE)
        sys.exit(_USAGE_ERROR)
    main(sys.argv[1])
