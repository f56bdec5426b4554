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
from .httperrors import convert_http_exception, error_response
from .identity import match_secret, require_bearer_key
from .logs import log_event
from .membership import EndpointView
from .process import log_unexpected_error
from .settings import SettingsStore

__all__ = ('AdministrationApi',)

_PROPAGATION_TIMEOUT_SECONDS = 1.0
_PROPAGATION_POLL_SECONDS = 0.02
_SCHEMA_NAMES = frozenset(('team', 'process', 'keys'))
_EVERY_TEAM = '*'
_TEAM_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')


class AdministrationApi:
    """HTTP handlers of the administration port.

    Attributes
    ----------
    refusing
        Whether new requests are refused because the entry is draining.
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
        """Bind to the settings, the fleet and the keys of one entry."""
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
        """Number of requests in flight."""
        return self._active

    def make_app(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(
            client_max_size=self._limits.body_bytes,
            middlewares=[self._track_request],
        )
        router = app.router
        for path in ('/settings/{team}', '/settings/{team}/{path:.*}'):
            router.add_get(path, self._get_settings)
            router.add_put(path, self._put_settings)
            router.add_delete(path, self._delete_settings)
        router.add_get('/history/{team}', self._show_history)
        router.add_get('/status', self._show_status)
        router.add_get('/schema/{name}', self._show_schema)
        return app

    @web.middleware
    async def _track_request(self, request: web.Request, handler) -> Any:
        self._active += 1
        try:
            if self.refusing:
                raise RequestFailedError(ErrorKind.leaving, retry_seconds=1)
            return await handler(request)
        except SettingsInvalidError as error:
            return _invalid_settings_response(error)
        except (PrimrosewoodError, web.HTTPException) as error:
            return error_response(_to_request_error(error))
        except Exception as error:
            log_unexpected_error(request.path, error)
            return error_response(RequestFailedError(ErrorKind.internal))
        finally:
            self._active -= 1

    async def _get_settings(self, request: web.Request) -> web.Response:
        team = _parse_team(request)
        self._authorise(request, team)
        settings_text = self._store.text_of(team)
        document = msgspec.json.decode(settings_text or '{}')
        value = get_at(document, split_path(_settings_path(request)))
        return web.json_response(
            {
                'team': team,
                'revision': self._store.revision_of(team),
                'value': value,
            }
        )

    async def _put_settings(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            replacement = msgspec.json.decode(body)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
            raise SettingsInvalidError([f'/: {error}']) from error
        return await self._change_settings(request, 'put', replacement)

    async def _delete_settings(self, request: web.Request) -> web.Response:
        return await self._change_settings(request, 'delete', None)

    async def _change_settings(
        self, request: web.Request, action: str, replacement: Any
    ) -> web.Response:
        team = _parse_team(request)
        operator = self._authorise(request, team)
        accepted = await self._editor.apply(
            ChangeRequest(
                team=team,
                path=_settings_path(request),
                action=action,
                replacement=replacement,
                operator=operator,
                seen_revision=_parse_if_match(request),
            )
        )
        self._store.merge(accepted.record)
        holding_count, linked_count = await self._wait_for_propagation()
        return web.json_response(
            {
                'team': team,
                'revision': accepted.record.revision,
                'endpoints_holding': holding_count,
                'endpoints_linked': linked_count,
            }
        )

    async def _wait_for_propagation(self) -> tuple[int, int]:
        """Wait a limited time for the connected endpoints to hold the change.

        Returns
        -------
        tuple
            Number of connected endpoints with the current settings, and number
            of all connected endpoints.
        """
        waited_seconds = 0.0
        while waited_seconds < _PROPAGATION_TIMEOUT_SECONDS:
            linked_views = [
                view for view in self._fleet.endpoints if view.linked
            ]
            holding_count = sum(
                self._holds_current_settings(view) for view in linked_views
            )
            if holding_count == len(linked_views):
                break
            await asyncio.sleep(_PROPAGATION_POLL_SECONDS)
            waited_seconds += _PROPAGATION_POLL_SECONDS
        return holding_count, len(linked_views)

    def _holds_current_settings(self, view: EndpointView) -> bool:
        return view.digest == self._store.digest

    async def _show_history(self, request: web.Request) -> web.Response:
        team = _parse_team(request)
        self._authorise(request, team)
        history = await self._editor.read_history(team)
        return web.json_response(msgspec.to_builtins(history))

    async def _show_status(self, request: web.Request) -> web.Response:
        self._authorise(request, None)
        endpoints = [
            self._describe_endpoint(view) for view in self._fleet.endpoints
        ]
        return web.json_response(
            {
                'entry': self._name,
                'revisions': self._store.revisions,
                'endpoints': endpoints,
            }
        )

    def _describe_endpoint(self, view: EndpointView) -> dict[str, Any]:
        member = view.member
        return {
            'name': view.name,
            'team': member.team,
            'service': member.service,
            'failure_domain': member.failure_domain,
            'veto': self._fleet.veto_of(view).value,
            'linked': view.linked,
            'holds_settings': self._holds_current_settings(view),
            'running': view.load.running,
            'queued': view.load.queued,
            'limit': view.load.limit,
            'memory_permille': view.load.memory,
        }

    async def _show_schema(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if name not in _SCHEMA_NAMES:
            raise RequestFailedError(ErrorKind.not_found)
        schema_file = resources.files(__package__).joinpath(
            'schema', f'{name}.json'
        )
        return web.Response(
            body=schema_file.read_bytes(),
            content_type='application/schema+json',
        )

    def _authorise(self, request: web.Request, team: str | None) -> str:
        """Return the name of the operator that the request authenticates as.

        Parameters
        ----------
        team
            Team whose settings are accessed; None if the request is not about
            one team, which every operator may send.

        Raises
        ------
        RequestFailedError
            The key is unknown, or its operator has no access to the team.
        """
        key = require_bearer_key(request.headers.get('Authorization', ''))
        operator_name = None
        for name, operator in self._keys.operators.items():
            # Compares every key, so that the response time reveals nothing.
            if match_secret(key, operator.key_sha256):
                operator_name = name
        if operator_name is None:
            raise RequestFailedError(ErrorKind.unauthenticated)
        teams = self._keys.operators[operator_name].teams
        if team is not None and team not in teams and _EVERY_TEAM not in teams:
            log_event('operator_refused', operator=operator_name, team=team)
            raise RequestFailedError(ErrorKind.forbidden)
        return operator_name


def _to_request_error(error: Exception) -> RequestFailedError:
    if isinstance(error, RequestFailedError):
        return error
    if isinstance(error, StoreUnavailableError):
        return RequestFailedError(ErrorKind.store_unavailable, retry_seconds=1)
    return convert_http_exception(error)


def _parse_team(request: web.Request) -> str:
    team = request.match_info['team']
    if not _TEAM_NAME.fullmatch(team):
        raise RequestFailedError(
            ErrorKind.invalid_request, 'the name of the team is malformed'
        )
    return team


def _settings_path(request: web.Request) -> str:
    return request.match_info.get('path', '')


def _parse_if_match(request: web.Request) -> int | None:
    header = request.headers.get('If-Match')
    if header is None:
        return None
    if not header.isascii() or not header.isdigit():
        raise RequestFailedError(
            ErrorKind.invalid_request, 'If-Match is a revision'
        )
    return int(header)


def _invalid_settings_response(error: SettingsInvalidError) -> web.Response:
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
