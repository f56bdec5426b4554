"""Server that sends bytes without end, as a process of its own.

Threads that send would starve the event loop of a test.
"""

import contextlib
import socket
import sys
import threading
import time

__all__ = ('ENDLESS',)

_SEND_SECONDS = 20
_BLOCK = b'x' * 65_536
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


def make_head(name):
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Primrosewood-Attempt-Id: %b\r\n'
        b'Primrosewood-Response-Seal: s\r\n' % name
    )


def frame(part):
    return b'%x\r\n%b\r\n' % (len(part), part)


_EVENT = b'data: x\n\n' * 5000
# What is sent after the head, and then without end; None for no head at all.
ENDLESS = {
    'status line': (None, b'HTTP/1.1 200 ' + _BLOCK),
    'empty lines': (None, b'\r\n' * 30_000),
    'header line': (b'X: ', _BLOCK),
    'header lines': (b'', b'X: y\r\n' * 10_000),
    'interim answers': (None, b'HTTP/1.1 103 Early Hints\r\n\r\n' * 2000),
    'interim headers': (
        None,
        (b'HTTP/1.1 103 Early Hints\r\n' + b'X: y\r\n' * 50 + b'\r\n') * 200,
    ),
    'chunks': (_CHUNKED, frame(_BLOCK)),
    'small chunks': (_CHUNKED, frame(b'x') * 10_000),
    'one chunk': (_CHUNKED + b'ffffffff\r\n', _BLOCK),
    'chunk size': (_CHUNKED, b'0' * 65_536),
    'chunk extension': (_CHUNKED + b'5;', _BLOCK),
    'trailers': (_CHUNKED + b'0\r\n', b'X: y\r\n' * 10_000),
    'body': (b'\r\n', _BLOCK),
    'long body': (b'Content-Length: 999999999999\r\n\r\n', _BLOCK),
    'event': (_CHUNKED, frame(b'data: ' + _BLOCK)),
    'events': (_CHUNKED, frame(_EVENT)),
    'events without framing': (b'\r\n', _EVENT),
    'lines of an event': (b'\r\n', b'data: x\n' * 8000),
}


def serve(address, default):
    """Send bytes to each client until it closes.

    Their kind is the last part of the request's path, ``default`` if that names
    none.
    """
    host, _, port = address.partition(':')
    listener = socket.create_server((host, int(port)), backlog=64)
    print('listening', flush=True)
    while True:
        client, _address = listener.accept()
        threading.Thread(
            target=_send, args=(client, default), daemon=True
        ).start()


def _send(client, default):
    with client, contextlib.suppress(OSError):
        client.settimeout(_SEND_SECONDS)
        request = b''
        while b'\r\n\r\n' not in request:
            request += client.recv(65_536)
        kind = request.split(b' ')[1].rpartition(b'/')[2].decode()
        kind = kind.partition('?')[0].replace('-', ' ')
        first, rest = ENDLESS.get(kind) or ENDLESS[default]
        if first is not None:
            client.sendall(make_head(_find_name(request)) + first)
        until = time.monotonic() + _SEND_SECONDS
        while time.monotonic() < until:
            client.sendall(rest)


def _find_name(request):
    for line in request.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name.lower() == b'primrosewood-attempt-id':
            return text
    return b'ab12'


if __name__ == '__main__':
    serve(*sys.argv[1:])
