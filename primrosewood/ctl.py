"""Operators' command line: the administration API, and logs of a run."""

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
from .loglines import LogLine, count_outcomes, parse_lines
from .requesttrace import tell_story
from .losses import find_losses

__all__ = ('Ctl', 'main')

_URL_VARIABLE = 'PRIMROSEWOOD_URL'
_KEY_VARIABLE = 'PRIMROSEWOOD_KEY'
_TIMEOUT_SECONDS = 30
_REFUSED = 1
_INVALID = 2
_IN_EVERY_LINE = frozenset(('ts', 'level', 'process', 'request'))


class Ctl:
    """Read and change settings, and see who holds them.

    PRIMROSEWOOD_URL is the address of an entry's administration port and
    PRIMROSEWOOD_KEY the operator's key; a flag would show it to everybody who
    lists the machine's processes. A command's own help: `COMMAND --help`.

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
        """Take address and key from the environment."""
        self._url = os.environ.get(_URL_VARIABLE, '').rstrip('/')
        self._key = os.environ.get(_KEY_VARIABLE, '')

    def get(self, team: str, path: str = '') -> None:
        """Print what stands at a path of a team's settings."""
        _show(self._call('GET', f'/settings/{team}/{path}'))

    def put(
        self, team: str, path: str, setting: Any, revision: int | None = None
    ) -> None:
        """Put a JSON value at a path; '/' is the whole subtree.

        With --revision the change is refused when the path has changed since
        that revision. A setting that begins with @ names a file.
        """
        body = _read_setting(setting)
        _show(self._call('PUT', _settings_path(team, path), body, revision))

    def delete(self, team: str, path: str, revision: int | None = None) -> None:
        """Delete what stands at a path."""
        target = _settings_path(team, path)
        _show(self._call('DELETE', target, None, revision))

    def diff(self, team: str, file: str) -> None:
        """Print how a file differs from a team's settings in force.

        Exits with 1 when they differ.
        """
        wanted = json.loads(Path(file).read_text(encoding='utf-8'))
        answer = self._call('GET', f'/settings/{team}/')
        lines = find_differences(answer['value'], wanted)
        for line in lines:
            sys.stdout.write(f'{line}\n')
        sys.exit(_REFUSED if lines else 0)

    def check(self, file: str) -> None:
        """Check a file of team settings without sending it."""
        document = json.loads(Path(file).read_text(encoding='utf-8'))
        try:
            check_document(document, 'team')
        except SettingsInvalidError as error:
            for fault in error.faults:
                sys.stderr.write(f'{fault}\n')
            sys.exit(_INVALID)
        sys.stdout.write('settings are valid\n')

    def history(self, team: str) -> None:
        """Print a team's last changes, oldest first."""
        _show(self._call('GET', f'/history/{team}'))

    def status(self) -> None:
        """Print revisions in force and the state of each endpoint."""
        _show(self._call('GET', '/status'))

    def schema(self, name: str = 'team') -> None:
        """Print a JSON Schema (team, process or keys) for an editor."""
        _show(self._call('GET', f'/schema/{name}'))

    def explain(self, request: str, *files: str) -> None:
        """Print what the logs of some processes say about a request.

        Lines come by cause: clocks of different VMs are not compared. Times
        are seconds since the first line shown of the same process. Exits with
        1 when no line has the id.
        """
        lines = _read_logs(files)
        # The command line library reads an id of digits as a number.
        story = tell_story(lines, str(request))
        starts: dict[str, float] = {}
        _write_lines(story.beliefs, 'believed', starts)
        _write_lines(story.lines, 'happened', starts)
        sys.stdout.write(f'verdict: {story.verdict}\n')
        sys.exit(0 if story.lines else _REFUSED)

    def outcomes(self, *files: str, seconds: float = 2) -> None:
        """Print how requests ended in each span of time, as a table."""
        counted = count_outcomes(_read_logs(files), seconds)
        names = sorted({name for span in counted.values() for name in span})
        _write_row('second', names)
        for span in sorted(counted):
            shown = [counted[span][name] for name in names]
            _write_row(format(span * seconds, 'g'), shown)

    def losses(self, *files: str) -> None:
        """Print which requests were lost or late, by reason, dearest first."""
        _write_row('requests', ('tokens', 'reason', 'examples'))
        for loss in find_losses(_read_logs(files)):
            examples = ' '.join(loss.examples)
            shown = (loss.tokens, loss.reason, examples)
            _write_row(str(loss.requests), shown)

    def domain_out(self, team: str, failure_domain: str) -> None:
        """Take a failure domain out; the team 'platform' means all teams."""
        self._put_domain(team, failure_domain, 'out')

    def domain_in(self, team: str, failure_domain: str) -> None:
        """Bring a failure domain back."""
        self._put_domain(team, failure_domain, 'in')

    def _put_domain(self, team: str, failure_domain: str, state: str) -> None:
        path = f'/settings/{team}/failure_domains/{failure_domain}'
        _show(self._call('PUT', path, {'state': state}))

    def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        revision: int | None = None,
    ) -> Any:
        return asyncio.run(self._call_once(method, path, body, revision))

    async def _call_once(
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
            _fail({'error': {'message': f'{type(error).__name__}: {error}'}})
        if status != HTTPStatus.OK:
            _fail(answer)
        return answer


def main() -> None:
    """Run the binary ``primrosewood-ctl``."""
    # A reader such as head closes the pipe when it has seen enough.
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    fire.Fire(Ctl(), name='primrosewood-ctl')


def _settings_path(team: str, path: str) -> str:
    return f'/settings/{team}/{path.strip("/")}'


def _read_setting(setting: Any) -> Any:
    if not isinstance(setting, str):
        return setting
    if setting.startswith('@'):
        return json.loads(Path(setting[1:]).read_text(encoding='utf-8'))
    # The command line library reads Python's literals; JSON has some more.
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


def _write_lines(
    lines: Sequence[LogLine], heading: str, starts: dict[str, float]
) -> None:
    sys.stdout.write(f'{heading}:\n')
    for line in lines:
        since = line.seconds - starts.setdefault(line.process, line.seconds)
        shown = ' '.join(
            f'{name}={text}'
            for name, text in line.pairs.items()
            if name not in _IN_EVERY_LINE
        )
        sys.stdout.write(f'  {line.process} +{since:.3f} {shown}\n')


def _write_row(first: str, cells: Sequence[Any]) -> None:
    sys.stdout.write('\t'.join([first, *map(str, cells)]))
    sys.stdout.write('\n')


def _show(answer: Any) -> None:
    sys.stdout.write(f'{json.dumps(answer, indent=2)}\n')


def _fail(answer: Any) -> None:
    sys.stderr.write(f'{json.dumps(answer, indent=2)}\n')
    sys.exit(_REFUSED)
