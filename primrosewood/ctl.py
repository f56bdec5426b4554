"""Command line for operators: administration API and analysis of log files."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Any

import aiohttp
import fire

from .config import check_document
from .documents import find_differences
from .errors import SettingsInvalidError
from .loglines import LogLine, count_outcomes, list_rollout_lines, parse_lines
from .losses import find_losses
from .requesttrace import trace_request

__all__ = ('Ctl', 'main')

_URL_VARIABLE = 'PRIMROSEWOOD_URL'
_KEY_VARIABLE = 'PRIMROSEWOOD_KEY'
_TIMEOUT_SECONDS = 30
_EXIT_FAILURE = 1
_EXIT_INVALID_SETTINGS = 2
_COMMON_KEYS = frozenset(('ts', 'level', 'process', 'request'))


class Ctl:
    """Read and change settings, show the state of endpoints, and explain logs.

    PRIMROSEWOOD_URL is the address of an entry's administration port and
    PRIMROSEWOOD_KEY the operator's key. The key isn't passed as a flag, as
    everybody who can list the machine's processes could read it there. `COMMAND
    --help` shows the help of a command.

    Examples
    --------
    primrosewood-ctl put cymru services/certdesk '{"kind": "model"}'
    primrosewood-ctl get cymru
    primrosewood-ctl diff cymru settings.json
    primrosewood-ctl domain_out cymru abertawe
    primrosewood-ctl status
    primrosewood-ctl explain 9c41d07be2a35f68 entry.log endpoint.log
    primrosewood-ctl outcomes entry.log
    """

    def __init__(self) -> None:
        """Read address and key from the environment."""
        self._url = os.environ.get(_URL_VARIABLE, '').rstrip('/')
        self._key = os.environ.get(_KEY_VARIABLE, '')

    def get(self, team: str, path: str = '') -> None:
        """Print the value at a path of a team's settings."""
        _print_json(self._request('GET', f'/settings/{team}/{path}'))

    def put(
        self, team: str, path: str, setting: Any, revision: int | None = None
    ) -> None:
        """Store a JSON value at a path; '/' is all settings of the team.

        With --revision the change is refused if the path has changed since that
        revision. A setting that begins with @ names a file that holds the
        value.
        """
        body = _parse_setting(setting)
        _print_json(
            self._request('PUT', _settings_path(team, path), body, revision)
        )

    def delete(self, team: str, path: str, revision: int | None = None) -> None:
        """Delete the value at a path.

        With --revision the change is refused if the path has changed since that
        revision.
        """
        target = _settings_path(team, path)
        _print_json(self._request('DELETE', target, None, revision))

    def diff(self, team: str, file: str) -> None:
        """Print how a file differs from a team's current settings.

        Exits with 1 if they differ.
        """
        wanted = json.loads(Path(file).read_text(encoding='utf-8'))
        answer = self._request('GET', f'/settings/{team}/')
        lines = find_differences(answer['value'], wanted)
        for line in lines:
            sys.stdout.write(f'{line}\n')
        sys.exit(_EXIT_FAILURE if lines else 0)

    def check(self, file: str) -> None:
        """Check a file of team settings without sending it.

        Exits with 2 if the settings are invalid.
        """
        document = json.loads(Path(file).read_text(encoding='utf-8'))
        try:
            check_document(document, 'team')
        except SettingsInvalidError as error:
            for fault in error.faults:
                sys.stderr.write(f'{fault}\n')
            sys.exit(_EXIT_INVALID_SETTINGS)
        sys.stdout.write('settings are valid\n')

    def history(self, team: str) -> None:
        """Print a team's most recent changes, oldest first."""
        _print_json(self._request('GET', f'/history/{team}'))

    def status(self) -> None:
        """Print the current revisions and the state of each endpoint."""
        _print_json(self._request('GET', '/status'))

    def schema(self, name: str = 'team') -> None:
        """Print a JSON Schema (team, process or keys) for an editor."""
        _print_json(self._request('GET', f'/schema/{name}'))

    def explain(self, request: str, *files: str) -> None:
        """Print what log files of several processes say about a request.

        'believed' lists the lines that show the state on which processes based
        their decisions, 'happened' the lines of the request in causal order, as
        clocks of different VMs are not compared. Times are in seconds since the
        first line printed of the same process. Exits with 1 if no line has the
        request's ID.
        """
        lines = _read_logs(files)
        # Fire parses an ID that consists of digits as a number.
        trace = trace_request(lines, str(request))
        starts: dict[str, float] = {}
        _print_lines(trace.state_lines, 'believed', starts)
        _print_lines(trace.lines, 'happened', starts)
        sys.stdout.write(f'verdict: {trace.verdict}\n')
        sys.exit(0 if trace.lines else _EXIT_FAILURE)

    def rollout(self, service: str, *files: str) -> None:
        """Print what log files of several processes say about a roll-out.

        Lines of one process are in order. Times are in seconds since its first
        line printed. Exits with 1 if no line is about the service.
        """
        lines = list_rollout_lines(_read_logs(files), str(service))
        _print_lines(lines, 'happened', {})
        sys.exit(0 if lines else _EXIT_FAILURE)

    def outcomes(self, *files: str, seconds: float = 2) -> None:
        """Print a table of how requests ended in each interval of time.

        --seconds is the length of an interval in seconds.
        """
        counts = count_outcomes(_read_logs(files), seconds)
        outcomes = sorted({name for row in counts.values() for name in row})
        _print_row('second', outcomes)
        for interval in sorted(counts):
            cells = [counts[interval][outcome] for outcome in outcomes]
            _print_row(format(interval * seconds, 'g'), cells)

    def losses(self, *files: str) -> None:
        """Print the requests that failed or were late, grouped by reason.

        Reasons with the most tokens come first.
        """
        _print_row('requests', ('tokens', 'reason', 'examples'))
        for loss in find_losses(_read_logs(files)):
            examples = ' '.join(loss.examples)
            cells = (loss.tokens, loss.reason, examples)
            _print_row(str(loss.requests), cells)

    def domain_out(self, team: str, failure_domain: str) -> None:
        """Send no new work to a failure domain.

        The team 'platform' means all teams.
        """
        self._set_domain_state(team, failure_domain, 'out')

    def domain_in(self, team: str, failure_domain: str) -> None:
        """Send new work to a failure domain again."""
        self._set_domain_state(team, failure_domain, 'in')

    def _set_domain_state(
        self, team: str, failure_domain: str, state: str
    ) -> None:
        path = f'/settings/{team}/failure_domains/{failure_domain}'
        _print_json(self._request('PUT', path, {'state': state}))

    def _request(
        self,
        method: str,
        path: str,
        body: Any = None,
        revision: int | None = None,
    ) -> Any:
        return asyncio.run(self._send_request(method, path, body, revision))

    async def _send_request(
        self, method: str, path: str, body: Any, revision: int | None
    ) -> Any:
        headers = {'Authorization': f'Bearer {self._key}'}
        if revision is not None:
            headers['If-Match'] = str(revision)
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(
                    method, f'{self._url}{path}', json=body, headers=headers
                ) as response:
                    answer = await response.json(content_type=None)
                    status = response.status
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            _exit_with_error(
                {'error': {'message': f'{type(error).__name__}: {error}'}}
            )
        if status != HTTPStatus.OK:
            _exit_with_error(answer)
        return answer


def main() -> None:
    """Run the program ``primrosewood-ctl``."""
    # A reader such as head closes the pipe early; end without an error then.
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    fire.Fire(Ctl(), name='primrosewood-ctl')


def _settings_path(team: str, path: str) -> str:
    return f'/settings/{team}/{path.strip("/")}'


def _parse_setting(setting: Any) -> Any:
    if not isinstance(setting, str):
        return setting
    if setting.startswith('@'):
        return json.loads(Path(setting[1:]).read_text(encoding='utf-8'))
    # Fire has parsed Python literals already; JSON has some that Python lacks,
    # such as true and null.
    try:
        return json.loads(setting)
    except ValueError:
        return setting


def _read_logs(files: Sequence[str]) -> list[LogLine]:
    texts: list[str] = []
    for file in files:
        text = Path(file).read_text(encoding='utf-8', errors='replace')
        texts += text.splitlines()
    return parse_lines(texts)


def _print_lines(
    lines: Sequence[LogLine], heading: str, starts: dict[str, float]
) -> None:
    sys.stdout.write(f'{heading}:\n')
    for line in lines:
        elapsed = line.timestamp - starts.setdefault(
            line.process, line.timestamp
        )
        text = ' '.join(
            f'{key}={value}'
            for key, value in line.fields.items()
            if key not in _COMMON_KEYS
        )
        sys.stdout.write(f'  {line.process} +{elapsed:.3f} {text}\n')


def _print_row(first_cell: str, cells: Sequence[Any]) -> None:
    sys.stdout.write('\t'.join([first_cell, *map(str, cells)]))
    sys.stdout.write('\n')


def _print_json(answer: Any) -> None:
    sys.stdout.write(f'{json.dumps(answer, indent=2)}\n')


def _exit_with_error(answer: Any) -> None:
    sys.stderr.write(f'{json.dumps(answer, indent=2)}\n')
    sys.exit(_EXIT_FAILURE)
