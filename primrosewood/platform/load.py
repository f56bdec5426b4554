"""The load tool's workloads, sent as this platform's callers send them."""

import time
from contextlib import AbstractAsyncContextManager
from http import HTTPStatus
from secrets import token_hex

import aiohttp
import fire

from ..caller import CallerAnswer, CallerSettings, TaskCaller
from ..events import EventSplitter, read_event_id
from ..load import run_workload, split_urls
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
        settings = CallerSettings(split_urls(urls), key, _MOST_ATTEMPTS)
        run_workload(
            (workload, rate, seconds, seed),
            lambda session: ForwardedCaller(session, settings, host),
            out,
        )


class ForwardedCaller(TaskCaller):
    """A caller whose requests are forwarded byte for byte.

    Parameters
    ----------
    host
        Host of the routes.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: CallerSettings,
        host: str,
    ) -> None:
        """Take a session that outlives the caller."""
        super().__init__(session, settings)
        self._host = host

    def _request(
        self, url: str, task: Task, answer: CallerAnswer
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        # Each attempt is a run of its own.
        answer.tokens.clear()
        path = task.kind.path or _GENERATION_PATH
        return self._session.request(
            task.kind.method or 'POST',
            f'{url}/{path}/{task.name}',
            headers=self._headers(task),
        )

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        answer: CallerAnswer,
        started: float,
    ) -> None:
        await _read(response, answer, started)

    def _may_retry(self, task: Task, answer: CallerAnswer) -> bool:
        if answer.complete:
            return False
        return answer.ran == 'no' or task.kind.method == 'GET'

    def _headers(self, task: Task) -> dict[str, str]:
        key = self._settings.key
        sent = {
            'Host': self._host,
            'Authorization': f'Bearer {key}',
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


def main() -> None:
    """Run the load tool."""
    fire.Fire(PlatformLoad(), name='python -m primrosewood.platform.load')


if __name__ == '__main__':
    main()
