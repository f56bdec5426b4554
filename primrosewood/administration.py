"""The administration API of an entry."""

import asyncio
import re
from http import HTTPStatus
from importlib import resources
from typing import Any

import msgspec
from aiohttp import web

from .changes import ChangeRequest, SettingsEditor
from .documents import get_at, split_path
from .errors import (
    ErrorKind,
    PrimrosewoodError,
    RequestFailedError,
    SettingsInvalidError,
    StoreUnavailableError,
)
from .fleet import Fleet
from .gen_keys import Keys
from .gen_process import Limits
from .httperrors import error_response, convert_http_exception
from .identity import match_secret
from .logs import log_event
from .membership import EndpointView
from .process import log_unexpected_error
from .settings import SettingsStore

__all__ = ('AdministrationApi',)

_BEARER = 'Bearer '
_SPREAD_WAIT = 1.0
_SPREAD_STEP = 0.02
_SCHEMAS = frozenset(('team', 'process', 'keys'))
_EVERY_TEAM = '*'
_TEAM_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')


class AdministrationApi:
    """Handlers of the administration port.

    Attributes
    ----------
    refusing
        Whether new requests are refused, as the entry leaves.
    """

    def __init__(
        self,
        name: str,
        editor: SettingsEditor,
        store: SettingsStore,
        fleet: Fleet,
        keys: Keys,
        limits: Limits,
    ) -> None:
        """Take what operators ask about."""
        self._name = name
        self._editor = editor
        self._store = store
        self._fleet = fleet
        self._keys = keys
        self._limits = limits
        self._active = 0
        self.refusing = False

    @property
    def active(self) -> int:
        """Requests that are being answered."""
        return self._active

    def make_app(self) -> web.Application:
        """Return the application of the administration port."""
        app = web.Application(
            client_max_size=self._limits.body_bytes,
            middlewares=[self._guard],
        )
        router = app.router
        for path in ('/settings/{team}', '/settings/{team}/{path:.*}'):
            router.add_get(path, self._get)
            router.add_put(path, self._put)
            router.add_delete(path, self._delete)
        router.add_get('/history/{team}', self._show_history)
        router.add_get('/status', self._show_status)
        router.add_get('/schema/{name}', self._show_schema)
        return app

    @web.middleware
    async def _guard(self, request: web.Request, handler) -> Any:
        self._active += 1
        try:
            if self.refusing:
                raise RequestFailedError(ErrorKind.leaving, retry_seconds=1)
            return await handler(request)
        except SettingsInvalidError as error:
            return _invalid(error)
        except (PrimrosewoodError, web.HTTPException) as error:
            return error_response(_to_failure(error))
        except Exception as error:
            log_unexpected_error(request.path, error)
            return error_response(RequestFailedError(ErrorKind.internal))
        finally:
            self._active -= 1

    async def _get(self, request: web.Request) -> web.Response:
        team = _team_of(request)
        self._authorise(request, team)
        held = self._store.text_of(team)
        document = msgspec.json.decode(held or '{}')
        found = get_at(document, split_path(_path_of(request)))
        return web.json_response(
            {
                'team': team,
                'revision': self._store.revision_of(team),
                'value': found,
            }
        )

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            replacement = msgspec.json.decode(body)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
            raise SettingsInvalidError([f'/: {error}']) from error
        return await self._change(request, 'put', replacement)

    async def _delete(self, request: web.Request) -> web.Response:
        return await self._change(request, 'delete', None)

    async def _change(
        self, request: web.Request, action: str, replacement: Any
    ) -> web.Response:
        team = _team_of(request)
        operator = self._authorise(request, team)
        accepted = await self._editor.apply(
            ChangeRequest(
                team=team,
                path=_path_of(request),
                action=action,
                replacement=replacement,
                operator=operator,
                seen_revision=_seen_revision(request),
            )
        )
        self._store.merge(accepted.record)
        holding, linked = await self._wait_for_spread()
        return web.json_response(
            {
                'team': team,
                'revision': accepted.record.revision,
                'endpoints_holding': holding,
                'endpoints_linked': linked,
            }
        )

    async def _wait_for_spread(self) -> tuple[int, int]:
        """Wait a moment for the connected endpoints to hold the change."""
        waited = 0.0
        while waited < _SPREAD_WAIT:
            linked = [view for view in self._fleet.endpoints if view.linked]
            holding = sum(self._holds(view) for view in linked)
            if holding == len(linked):
                break
            await asyncio.sleep(_SPREAD_STEP)
            waited += _SPREAD_STEP
        return holding, len(linked)

    def _holds(self, view: EndpointView) -> bool:
        return view.digest == self._store.digest

    async def _show_history(self, request: web.Request) -> web.Response:
        team = _team_of(request)
        self._authorise(request, team)
        history = await self._editor.read_history(team)
        return web.json_response(msgspec.to_builtins(history))

    async def _show_status(self, request: web.Request) -> web.Response:
        self._authorise(request, None)
        endpoints = [self._describe(view) for view in self._fleet.endpoints]
        return web.json_response(
            {
                'entry': self._name,
                'revisions': self._store.revisions,
                'endpoints': endpoints,
            }
        )

    def _describe(self, view: EndpointView) -> dict[str, Any]:
        member = view.member
        return {
            'name': view.name,
            'team': member.team,
            'service': member.service,
            'failure_domain': member.failure_domain,
            'veto': self._fleet.veto_of(view).value,
            'linked': view.linked,
            'holds_settings': self._holds(view),
            'running': view.load.running,
            'queued': view.load.queued,
            'limit': view.load.limit,
            'memory_permille': view.load.memory,
        }

    async def _show_schema(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if name not in _SCHEMAS:
            raise RequestFailedError(ErrorKind.not_found)
        file = resources.files(__package__).joinpath('schema', f'{name}.json')
        return web.Response(
            body=file.read_bytes(), content_type='application/schema+json'
        )

    def _authorise(self, request: web.Request, team: str | None) -> str:
        """Return the operator; a team of None asks for any subtree."""
        header = request.headers.get('Authorization', '')
        key = header.removeprefix(_BEARER)
        found = None
        for name, operator in self._keys.operators.items():
            # Every key is compared, so that timing tells nothing.
            if match_secret(key, operator.key_sha256):
                found = name
        if found is None:
            raise RequestFailedError(ErrorKind.unauthenticated)
        teams = self._keys.operators[found].teams
        if team is not None and team not in teams and _EVERY_TEAM not in teams:
            log_event('operator_refused', operator=found, team=team)
            raise RequestFailedError(ErrorKind.forbidden)
        return found


def _to_failure(error: Exception) -> RequestFailedError:
    if isinstance(error, RequestFailedError):
        return error
    if isinstance(error, StoreUnavailableError):
        return RequestFailedError(ErrorKind.store_unavailable, retry_seconds=1)
    return convert_http_exception(error)


def _team_of(request: web.Request) -> str:
    team = request.match_info['team']
    if not _TEAM_NAME.fullmatch(team):
        raise RequestFailedError(
            ErrorKind.invalid_request, 'the name of the team is malformed'
        )
    return team


def _path_of(request: web.Request) -> str:
    return request.match_info.get('path', '')


def _seen_revision(request: web.Request) -> int | None:
    header = request.headers.get('If-Match')
    if header is None:
        return None
    if not header.isascii() or not header.isdigit():
        raise RequestFailedError(
            ErrorKind.invalid_request, 'If-Match is a revision'
        )
    return int(header)


def _invalid(error: SettingsInvalidError) -> web.Response:
    kind = ErrorKind.invalid_request
    body = {
        'error': {
            'type': kind.value,
            'ran': 'no',
            'message': 'The settings are not valid; nothing was changed.',
            'faults': error.faults,
        }
    }
    return web.json_response(body, status=HTTPStatus.BAD_REQUEST)
