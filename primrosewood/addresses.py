"""Network addresses as other processes state them."""

import ipaddress
import re

from .errors import WireError

__all__ = ('parse_address', 'require_link_url')

# Resolvers raise errors of other kinds for longer labels and names.
_HOST_NAME = re.compile(r'[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?')
_MAX_HOST_CHARACTERS = 253
_LINK_URL = re.compile('wss?://(.*)')
_IP_CHARACTERS = frozenset('0123456789.')
_PORT = re.compile('[0-9]{1,5}')
_MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    Raises
    ------
    WireError
        No connection can be made to it, whatever listens.
    """
    host, _colon, port = text.rpartition(':')
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        raise WireError(f'address {text!r} has no valid port')
    if not _is_host(host):
        raise WireError(f'address {text!r} has no valid host')
    return host, int(port)


def require_link_url(url: str) -> None:
    """Check the URL on which a process accepts links.

    Raises
    ------
    WireError
        It is not ``ws`` or ``wss`` with a host and a port.
    """
    match = _LINK_URL.fullmatch(url)
    if match is None:
        raise WireError(f'{url!r} is no URL of a link')
    parse_address(match.group(1))


def _is_host(host: str) -> bool:
    if not _IP_CHARACTERS.issuperset(host):
        is_short = len(host) <= _MAX_HOST_CHARACTERS
        return is_short and _HOST_NAME.fullmatch(host) is not None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
