"""Starts one of the system's programs as the platform does."""

import os
import sys

from ..process import run_node

__all__ = ('main',)

_SETTINGS_VARIABLE = 'PRIMROSEWOOD_NODE_FILE'
_USAGE = 'usage: python -m primrosewood.platform entry|endpoint\n'
_INVALID = 2


def main(role: str) -> None:
    """Run a role with the settings file that the environment names."""
    # Each program imports only what it uses: memory is paid for.
    if role == 'entry':
        from .entry import EntryNode as Node  # noqa: WPS433
    else:
        from .endpoint import EndpointNode as Node  # noqa: WPS433
    path = os.environ.get(_SETTINGS_VARIABLE, '')
    run_node(path, role, Node)


if __name__ == '__main__':
    if len(sys.argv) != 2 or sys.argv[1] not in {'entry', 'endpoint'}:
        sys.stderr.write(_USAGE)
        sys.exit(_INVALID)
    main(sys.argv[1])
