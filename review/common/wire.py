"""Messages of requesters, entries and back ends, on raw sockets."""

from asyncio import StreamReader

__all__ = ('NOT_EXECUTED', 'make_answer', 'make_request', 'read_head')

NOT_EXECUTED = 'Primrosewood-Not-Executed'


async def read_head(reader: StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its headers by lower name."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return first, headers


def make_request(
    path: str, attempt: str, deadline_ms: int, body: bytes, headers: dict
) -> bytes:
    """Return a requester's POST."""
    fields = {
        'Host': 'h.example',
        'Primrosewood-Attempt-Id': attempt,
        'Primrosewood-Deadline-Ms': deadline_ms,
        'Content-Length': len(body),
        **headers,
    }
    return _make_head(f'POST {path} HTTP/1.1', fields) + body


def make_answer(
    status: int, attempt: str, headers: dict, body: bytes = b''
) -> bytes:
    """Return a back end's whole answer, after which it closes."""
    fields = {
        'Primrosewood-Attempt-Id': attempt,
        'Connection': 'close',
        'Content-Length': len(body),
        **headers,
    }
    return _make_head(f'HTTP/1.1 {status} X', fields) + body


def _make_head(first: str, fields: dict) -> bytes:
    lines = [f'{name}: {text}' for name, text in fields.items()]
    return '\r\n'.join([first, *lines, '', '']).encode()
