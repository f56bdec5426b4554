"""The load tool's workloads, sent as this platform's callers send them."""

import asyncio
import time
from http import HTTPStatus
from secrets import token_hex

import aiohttp
import fire

from ..caller import CallerAnswer
from ..events import EventSplitter, read_event_id
from ..load import run_workload
from ..workloads import Task
from . import headers

__all__ = ('ForwardedCaller', 'PlatformLoad', 'main')

# A caller waits this long; the sheets have 6 s for short answers and 39 s for
# long ones.
_PATIENCE_MS = 39_000
_PROMPT_TOKENS = 1000
_MOST_ATTEMPTS = 3
_NAME_BYTES = 8
# Of the route to engines; workloads name the paths of plain services only.
_GENERATION_PATH = 'generate'
_DATA = b'data:'
# An answer with one of these says that nothing ran and nothing will.
_PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class PlatformLoad:
    """Send generations and service calls to entries and measure them.

    Examples
    --------
    python -m primrosewood.platform.load --urls http://127.0.0.1:8740
    --host h.example --key K --workload gwenallt --rate 5 --seconds 30
    """

    def __call__(
        self,
        urls: str,
        host: str,
        key: str,
        workload: str,
        rate: float = 5.0,
        seconds: float = 10.0,
        seed: int = 1,
        out: str = '',
    ) -> None:
        """Send a workload and print what came back.

        Parameters
        ----------
        urls
            Entries, separated by commas; a retry goes to the next one.
        host
            Host of the routes.
        key
            The organisation's key.
        workload
            One of those that `primrosewood-load workloads` prints.
        rate
            Requests a second on average.
        seconds
            How long requests are sent.
        seed
            The same seed sends the same requests.
        out
            File for one JSON line for each answer.
        """
        run_workload(
            (workload, rate, seconds, seed),
            lambda session: ForwardedCaller(session, urls, host, key),
            out,
        )


class ForwardedCaller:
    """A caller whose requests are forwarded byte for byte.

    Parameters
    ----------
    urls
        Entries, separated by commas.
    host
        Host of the routes.
    key
        The organisation's key.
    """

    def __init__(
        self, session: aiohttp.ClientSession, urls: str, host: str, key: str
    ) -> None:
        """Take a session that outlives the caller."""
        self._session = session
        self._urls = [url.strip().rstrip('/') for url in urls.split(',')]
        self._host = host
        self._key = key

    async def send(self, task: Task) -> CallerAnswer:
        """Send a task until it is answered or may not be sent again."""
        answer = CallerAnswer()
        started = time.monotonic()
        while answer.attempts < _MOST_ATTEMPTS:
            await self._send_once(task, answer, started)
            if not _may_return(task, answer):
                break
            await asyncio.sleep(answer.retry_seconds)
        answer.seconds = time.monotonic() - started
        return answer

    async def _send_once(
        self, task: Task, answer: CallerAnswer, started: float
    ) -> None:
        url = self._urls[answer.attempts % len(self._urls)]
        path = task.kind.path or _GENERATION_PATH
        answer.attempts += 1
        answer.error = ''
        answer.tokens.clear()
        try:
            async with self._session.request(
                task.kind.method or 'POST',
                f'{url}/{path}/{task.name}',
                headers=self._headers(task),
            ) as response:
                answer.status = response.status
                await _read(response, answer, started)
        except (aiohttp.ClientError, TimeoutError) as error:
            name = type(error).__name__
            answer.error = f'cut_{name}'
            answer.ran = 'unknown'

    def _headers(self, task: Task) -> dict[str, str]:
        sent = {
            'Host': self._host,
            'Authorization': f'Bearer {self._key}',
            headers.ATTEMPT: token_hex(_NAME_BYTES),
            headers.DEADLINE: str(_PATIENCE_MS),
        }
        if not task.kind.path:
            sent[headers.SIZE] = f'{_PROMPT_TOKENS},{task.length}'
        return sent


async def _read(
    response: aiohttp.ClientResponse, answer: CallerAnswer, started: float
) -> None:
    splitter = EventSplitter()
    last = 0.0
    async for part in response.content.iter_any():
        now = time.monotonic()
        if last:
            answer.largest_gap = max(answer.largest_gap, now - last)
        else:
            answer.first_token = now - started
        last = now
        if response.content_type == 'text/event-stream':
            answer.tokens += map(_to_token, splitter.feed(part))
    answer.complete = response.status == HTTPStatus.OK
    if not answer.complete:
        answer.error = str(response.status)
        promised = response.status in _PROMISES
        answer.ran = 'no' if promised else 'unknown'
        answer.retry_seconds = float(response.headers.get('Retry-After', 0))


def _to_token(event: bytes) -> str:
    """Return the run that made an event, and the event's place in it."""
    run = event.partition(_DATA)[2].strip().decode()
    place = (read_event_id(event) or 0) - 1
    return f'{run}.{place}'


def _may_return(task: Task, answer: CallerAnswer) -> bool:
    if answer.complete:
        return False
    return answer.ran == 'no' or task.kind.method == 'GET'


def main() -> None:
    """Run the load tool."""
    fire.Fire(PlatformLoad(), name='python -m primrosewood.platform.load')


if __name__ == '__main__':
    main()
