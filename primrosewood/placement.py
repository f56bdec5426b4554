"""Placing a request: choose an endpoint, claim its key, offer."""

from collections.abc import Awaitable
from typing import TypeVar

import msgspec

from . import gen_wire as wire
from .attempt import Attempt
from .claims import ClaimProposal
from .errors import (
    AttemptFailedError,
    DoubtError,
    ErrorKind,
    NotRunError,
    RequestFailedError,
    StoreUnavailableError,
    WireError,
)
from .identity import make_identifier
from .logs import log_decision, log_event
from .membership import EndpointView, Veto
from .process import spawn
from .progress import Progress, EntryContext
from .recovery import Recovery
from .retries import jitter
from .routing import Choice, Work

__all__ = ('Placement',)

_Read = TypeVar('_Read')

_MOST_ATTEMPTS = 4
_NO_ENDPOINT_RETRY_SECONDS = 1.0
_STORE_RETRY_SECONDS = 2.0


class Placement:
    """Brings one request to an endpoint that takes it."""

    def __init__(
        self, tools: EntryContext, progress: Progress, recovery: Recovery
    ) -> None:
        """Take the request's progress."""
        self._tools = tools
        self._progress = progress
        self._request = progress.request
        self._recovery = recovery

    async def place(self) -> Attempt:
        """Return an admitted attempt.

        Raises
        ------
        RequestFailedError
            No endpoint takes the request, its key cannot be claimed, or its
            outcome is in doubt and it may not be repeated.
        """
        while True:
            if self._request.key and not self._has_choice():
                joined = await self._join_claimed()
                if joined is not None:
                    return joined
            attempt = self._next_attempt()
            if await self._try(attempt):
                return attempt

    def note_refusal(self, attempt: Attempt, error: NotRunError) -> None:
        """Remember a definite refusal; raise it when no retry is left."""
        attempt.close()
        progress = self._progress
        if error.kind is not ErrorKind.never_offered:
            # Another entry asked for this attempt before its offer came; the
            # endpoint itself may well take the next one.
            progress.tried.add(attempt.endpoint)
        progress.refusal = error
        if not progress.budget.spend():
            raise self._give_up() from error

    def reconsider(self, attempt: Attempt, error: Exception) -> None:
        """Let another attempt follow a broken one, or raise the end."""
        if isinstance(error, NotRunError):
            self.note_refusal(attempt, error)
            return
        progress = self._progress
        if not progress.may_repeat:
            raise _end_of(error)
        attempt.cancel()
        progress.in_doubt = True
        progress.tried.add(attempt.endpoint)
        if not progress.budget.spend():
            raise _end_of(error)

    async def _join_claimed(self) -> Attempt | None:
        """Follow the attempt that holds the key, if there is one.

        A retry whose first attempt may have run must not be told "not run"
        because no endpoint can take new work just now; so the claim is read
        even when there is nobody to offer to.
        """
        claim = await self._guarded(
            self._tools.claims.look_up(self._request.key_digest)
        )
        if claim is None or not claim.endpoint:
            return None
        view = self._tools.fleet.views.get(claim.endpoint)
        if view is None:
            raise RequestFailedError(ErrorKind.outcome_unknown)
        attempt = Attempt(self._request, self._tools.links.open(view), claim)
        self._progress.current = attempt
        self._check_body(claim)
        return attempt if await self._collect(attempt) else None

    async def _try(self, attempt: Attempt) -> bool:
        """Return whether the attempt is admitted; False for the next one."""
        if self._request.key and not await self._claim(attempt):
            return await self._collect(attempt)
        attempt.offer(self._tools.seconds_left(self._request))
        try:
            await attempt.await_admission()
        except NotRunError as error:
            self.note_refusal(attempt, error)
            return False
        except (DoubtError, AttemptFailedError) as error:
            return await self._resolve(attempt, error)
        return True

    async def _resolve(self, attempt: Attempt, error: Exception) -> bool:
        if self._progress.may_repeat:
            self.reconsider(attempt, error)
            return False
        return await self._recovery.recover(attempt)

    def _next_attempt(self) -> Attempt:
        progress = self._progress
        before = progress.current
        view = self._choose()
        attempt = Attempt(
            self._request,
            self._tools.links.open(view),
            before.claim if before else None,
        )
        progress.current = attempt
        progress.attempts += 1
        return attempt

    def _usable(self) -> list[EndpointView]:
        if self._progress.attempts >= _MOST_ATTEMPTS:
            return []
        return self._tools.fleet.usable(
            self._request.organisation.team,
            self._request.service,
            self._progress.tried,
        )

    def _has_choice(self) -> bool:
        return self._progress.current is not None or bool(self._usable())

    def _choose(self) -> EndpointView:
        request = self._request
        tools = self._tools
        usable = self._usable()
        if not usable:
            raise self._give_up()
        work = Work(request.organisation.full_name, request.prompt)
        choice = tools.policy.choose(usable, work)
        choice.endpoint.offered += 1
        tools.metrics.count('offers')
        self._log_choice(choice, len(usable))
        return choice.endpoint

    def _log_choice(self, choice: Choice, usable: int) -> None:
        request = self._request
        organisation = request.organisation
        log_decision(
            'route',
            request=request.name,
            organisation=organisation.full_name,
            service=request.service,
            chosen=choice.endpoint.name,
            failure_domain=choice.endpoint.member.failure_domain,
            why=choice.why,
            seen=choice.seen,
            usable=usable,
            attempt=self._progress.attempts + 1,
            revision=self._tools.store.revision_of(organisation.team),
        )

    def _give_up(self) -> RequestFailedError:
        if self._progress.in_doubt:
            # One attempt may have run, so no refusal may say "not run".
            return RequestFailedError(ErrorKind.outcome_unknown)
        refusal = self._progress.refusal
        if refusal is None:
            return self._refuse_unplaced()
        self._release()
        seconds = refusal.retry_seconds or _NO_ENDPOINT_RETRY_SECONDS
        return self._refuse(refusal.kind, seconds)

    def _refuse_unplaced(self) -> RequestFailedError:
        request = self._request
        vetoes = self._tools.fleet.vetoes(
            request.organisation.team, request.service
        )
        log_decision(
            'route',
            request=request.name,
            organisation=request.organisation.full_name,
            service=request.service,
            chosen='none',
            why=','.join(sorted(vetoes)) or 'none_known',
        )
        only_out = set(vetoes) == {Veto.domain_out}
        kind = ErrorKind.domain_out if only_out else ErrorKind.no_endpoint
        return self._refuse(kind, _NO_ENDPOINT_RETRY_SECONDS)

    def _refuse(self, kind: ErrorKind, seconds: float) -> RequestFailedError:
        spread = jitter(seconds, self._tools.random.random())
        return RequestFailedError(kind, retry_seconds=spread)

    async def _claim(self, attempt: Attempt) -> bool:
        """Claim the key for an attempt; False when another claim stands."""
        before = attempt.claim
        record = self._make_claim(attempt)
        wish = ClaimProposal(record, before.nonce if before else '')
        result = await self._guarded(self._tools.claims.claim(wish))
        attempt.claim = result.record
        self._check_body(result.record)
        return result.granted

    async def _guarded(self, asked: Awaitable[_Read]) -> _Read:
        # Offering without a claim could run the request twice. And since an
        # earlier attempt under the key may have run, the refusal must not
        # say that the request did not.
        try:
            return await asked
        except (StoreUnavailableError, WireError) as error:
            log_event('claim_failed', 'WARNING', why=type(error).__name__)
            raise self._refuse(
                ErrorKind.claim_unreadable, _STORE_RETRY_SECONDS
            ) from error

    def _check_body(self, claim: wire.ClaimRecord) -> None:
        if claim.body_digest != self._request.body_digest:
            raise RequestFailedError(ErrorKind.key_reused)

    def _make_claim(self, attempt: Attempt) -> wire.ClaimRecord:
        before = attempt.claim
        return wire.ClaimRecord(
            digest=self._request.key_digest,
            nonce=make_identifier(),
            attempt=attempt.name,
            number=before.number + 1 if before else 1,
            endpoint=attempt.endpoint,
            incarnation=attempt.incarnation,
            body_digest=self._request.body_digest,
            claimed_at=int(self._tools.clock.wall()),
        )

    async def _collect(self, attempt: Attempt) -> bool:
        """Listen to the attempt that holds the claim.

        Returns
        -------
        bool
            False when that one never ran and never will, so that the claim
            may pass to another attempt.
        """
        claim = attempt.claim
        if not claim.endpoint:
            return False
        view = self._tools.fleet.views.get(claim.endpoint)
        if view is None:
            raise RequestFailedError(ErrorKind.outcome_unknown)
        attempt.client = self._tools.links.open(view)
        attempt.name = claim.attempt
        attempt.incarnation = claim.incarnation
        self._tools.metrics.count('claims_collected')
        return await self._recovery.recover(attempt)

    def _release(self) -> None:
        """Let a later retry pass a claim whose attempt was refused for good.

        Without it the retry would have to ask the endpoint that refused, and
        could learn nothing once that one has been replaced.
        """
        attempt = self._progress.current
        claim = attempt.claim
        if claim is None or claim.attempt != attempt.name:
            return
        released = msgspec.structs.replace(
            claim, nonce=make_identifier(), endpoint='', attempt=''
        )
        spawn(
            self._write_release(ClaimProposal(released, claim.nonce)), 'release'
        )

    async def _write_release(self, wish: ClaimProposal) -> None:
        try:
            await self._tools.claims.claim(wish)
        except (StoreUnavailableError, WireError) as error:
            log_event('release_failed', 'WARNING', why=type(error).__name__)


def _end_of(error: Exception) -> RequestFailedError:
    if isinstance(error, RequestFailedError):
        return error
    return RequestFailedError(ErrorKind.outcome_unknown)
