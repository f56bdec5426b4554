"""A requester that sends one request on a new channel."""

import asyncio

from stage import Stage
from wire import make_request, read_head

__all__ = ('request_plain', 'request_stream')

_PROMPT_BYTES = 2900


async def request_plain(
    stage: Stage, address: str, attempt: str, route: dict, key: str
) -> int:
    """Send a request to a plain service; return the answer's status.

    Parameters
    ----------
    key
        The API key, empty for a request without one.
    """
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    path = f'{route["path_prefix"]}1'
    deadline_ms = route['timeout_ms']
    headers = {'Authorization': f'Bearer {key}'} if key else {}
    writer.write(make_request(path, attempt, deadline_ms, b'{}', headers))
    stage.record(f'requester: sends {attempt} with the key "{key}"')
    first, _headers = await read_head(reader)
    writer.close()
    stage.record(f'requester: {attempt} gets {first}')
    return int(first.split()[1])


async def request_stream(
    stage: Stage, address: str, attempt: str, route: dict, usage: str
) -> bool:
    """Send a request and read its stream; return whether it is complete.

    Parameters
    ----------
    address
        Where the entry takes requests.
    usage
        Prompt tokens and the greatest number of output tokens.
    """
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = {
        'Authorization': 'Bearer key-1',
        'Primrosewood-Model': 'm',
        'Primrosewood-Token-Usage': usage,
        'Primrosewood-Prefix-Hash': '5c1e07a2:210,e4402b7d:140',
    }
    path = f'{route["path_prefix"]}1'
    deadline_ms = route['timeout_ms']
    body = b'p' * _PROMPT_BYTES
    writer.write(make_request(path, attempt, deadline_ms, body, headers))
    stage.record(f'requester: sends {attempt} {path}')
    last_event, complete = None, False
    try:
        first, _headers = await read_head(reader)
        stage.record(f'requester: {attempt} gets {first}')
        while line := await reader.readline():
            text = line.decode('latin-1').strip()
            if text.startswith('id:'):
                last_event = text
            elif text.startswith('number'):
                stage.record(f'requester: {attempt} gets foreign "{text}"')
            elif text == '0':
                complete = True
                break
    except (OSError, asyncio.IncompleteReadError) as error:
        stage.record(f'requester: {attempt} gets {type(error).__name__}')
    writer.close()
    how = 'complete' if complete else 'cut'
    stage.record(f'requester: {attempt} ends {how} after {last_event}')
    return complete
