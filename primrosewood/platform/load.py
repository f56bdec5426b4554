"""Load generator that sends requests as the platform's callers do."""

import time
from contextlib import AbstractAsyncContextManager
from http import HTTPStatus
from random import Random
from secrets import token_hex

import aiohttp
import fire

from ..caller import CallerAnswer, CallerSettings, TaskCaller
from ..events import EventSplitter, read_event_id
from ..load import run_workload, split_urls
from ..workloads import Task
from . import headers

__all__ = ('PlatformCaller', 'PlatformLoad', 'PromptParts', 'main')

# Time that each request allows.  The platform's callers allow 6 s for short
# answers and 39 s for long ones.
_DEADLINE_MS = 39_000
# The platform's callers wait for a third of the time that they allow at most.
_MAX_RETRY_SECONDS = 13.0
_PROMPT_TOKENS = 1000
_SHARED_PART = '5c1e07a2'
_PART_TOKENS = 300
_MAX_ATTEMPTS = 3
_ATTEMPT_ID_BYTES = 8
# Path of the route to engines; workloads have paths for plain services only.
_GENERATION_PATH = 'generate'
_DATA_PREFIX = b'data:'
# A response with one of these statuses says that the call did not and will not
# run, so that it is safe to send it again.
_NOT_EXECUTED_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class PlatformLoad:
    """Send generations and service calls to entries and measure the responses.

    Examples
    --------
    python -m primrosewood.platform.load --urls http://127.0.0.1:8740
    --host h.example --key K --workload gwenallt --rate 5 --seconds 30

    python -m primrosewood.platform.load --part bad0 --part_share 0.2
    --urls http://127.0.0.1:8740 --host h.example --key K --workload gwenallt
    """

    def __init__(self, part: str = '', part_share: float = 0.1) -> None:
        """Choose what the prompts of generations contain.

        Parameters
        ----------
        part
            Identifier of a part that some prompts have, empty for none.
        part_share
            Share of the prompts that have it.
        """
        self._part = part
        self._part_share = part_share

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
        """Send a workload and print a summary of the responses.

        Parameters
        ----------
        urls
            URLs of entries, separated by commas; a retry goes to the next one.
        host
            Value of the Host header, which selects the routes.
        key
            API key of the organisation.
        workload
            Name of a workload; `primrosewood-load workloads` lists them.
        rate
            Average number of requests per second.
        seconds
            How long to send requests.
        seed
            Seed of the random choices; the same seed sends the same requests.
        out
            File that receives one JSON line for each response.
        """
        settings = CallerSettings(split_urls(urls), key, _MAX_ATTEMPTS)
        prompts = PromptParts(self._part, self._part_share, Random(seed))
        run_workload(
            (workload, rate, seconds, seed),
            lambda session: PlatformCaller(session, settings, host, prompts),
            out,
        )


class PromptParts:
    """Makes the parts of prompts: a shared one, one of some, and their own.

    Parameters
    ----------
    part
        Identifier of the part that some prompts have, empty for none.
    share
        Share of the prompts that have it.
    random
        Decides which prompts have it.
    """

    def __init__(self, part: str, share: float, random: Random) -> None:
        """Prepare to make parts."""
        self._part = part
        self._share = share
        self._random = random

    def make(self) -> str:
        """Return the parts of one prompt as a header states them."""
        parts = [_SHARED_PART]
        if self._part and self._random.random() < self._share:
            parts.append(self._part)
        parts.append(token_hex(_ATTEMPT_ID_BYTES))
        return ','.join(f'{part}:{_PART_TOKENS}' for part in parts)


class PlatformCaller(TaskCaller):
    """Sends tasks with the platform's headers.

    Parameters
    ----------
    session
        HTTP session, which the owner of this object closes.
    settings
        Entries to use and the organisation's key.
    host
        Value of the Host header, which selects the routes.
    prompts
        Makes the parts of the prompts.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: CallerSettings,
        host: str,
        prompts: PromptParts,
    ) -> None:
        """Prepare to send tasks; nothing is sent yet."""
        super().__init__(session, settings)
        self._host = host
        self._prompts = prompts

    def _request(
        self, url: str, task: Task, answer: CallerAnswer
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        # Each attempt starts a new generation, so earlier tokens do not count.
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
        await _read_response(response, answer, started)

    def _may_retry(self, task: Task, answer: CallerAnswer) -> bool:
        if answer.complete:
            return False
        return answer.ran == 'no' or task.kind.method == 'GET'

    def _headers(self, task: Task) -> dict[str, str]:
        key = self._settings.key
        request_headers = {
            'Host': self._host,
            'Authorization': f'Bearer {key}',
            headers.ATTEMPT_ID: token_hex(_ATTEMPT_ID_BYTES),
            headers.DEADLINE: str(_DEADLINE_MS),
        }
        if not task.kind.path:
            request_headers[headers.TOKEN_USAGE] = (
                f'{_PROMPT_TOKENS},{task.length}'
            )
            request_headers[headers.PROMPT_PARTS] = self._prompts.make()
        return request_headers


async def _read_response(
    response: aiohttp.ClientResponse, answer: CallerAnswer, started: float
) -> None:
    splitter = EventSplitter()
    last_arrival = 0.0
    async for part in response.content.iter_any():
        arrival = time.monotonic()
        if last_arrival:
            answer.largest_gap = max(answer.largest_gap, arrival - last_arrival)
        else:
            answer.first_token = arrival - started
        last_arrival = arrival
        if response.content_type == 'text/event-stream':
            answer.tokens += map(_parse_token, splitter.feed(part))
    answer.complete = response.status == HTTPStatus.OK
    if not answer.complete:
        answer.error = str(response.status)
        not_executed = response.status in _NOT_EXECUTED_STATUSES
        answer.ran = 'no' if not_executed else 'unknown'
        retry_after = float(response.headers.get('Retry-After', 0))
        answer.retry_seconds = min(retry_after, _MAX_RETRY_SECONDS)


def _parse_token(event: bytes) -> str:
    """Return ``run.position`` of an event; the first position is 0."""
    run = event.partition(_DATA_PREFIX)[2].strip().decode()
    position = (read_event_id(event) or 0) - 1
    return f'{run}.{position}'


def main() -> None:
    """Run the command line."""
    fire.Fire(PlatformLoad, name='python -m primrosewood.platform.load')


if __name__ == '__main__':
    main()
