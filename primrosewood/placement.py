"""Placement of a request: choose an endpoint, claim the key, offer."""

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
from .progress import EntryContext, Progress
from .recovery import Recovery
from .retries import jitter
from .routing import Choice, RoutingInput

__all__ = ('Placement',)

_Result = TypeVar('_Result')

_MAX_ATTEMPTS = 4
_NO_ENDPOINT_RETRY_SECONDS = 1.0
_STORE_RETRY_SECONDS = 2.0


class Placement:
    """Finds an endpoint that admits one request."""

    def __init__(
        self, context: EntryContext, progress: Progress, recovery: Recovery
    ) -> None:
        """Bind to the state of one request."""
        self._context = context
        self._progress = progress
        self._request = progress.request
        self._recovery = recovery

    async def place(self) -> Attempt:
        """Return an admitted attempt.

        Raises
        ------
        RequestFailedError
            No endpoint admits the request, its idempotency key cannot be
            claimed, or its outcome is in doubt and it may not be repeated.
        """
        while True:
            if self._request.key and not self._has_candidate():
                claimed = await self._recover_claimed()
                if claimed is not None:
                    return claimed
            attempt = self._next_attempt()
            if await self._try_attempt(attempt):
                return attempt

    def record_refusal(self, attempt: Attempt, error: NotRunError) -> None:
        """Record that an attempt did not run; raise when no retry is left."""
        attempt.close()
        progress = self._progress
        if error.kind is not ErrorKind.never_offered:
            # After `never_offered` the endpoint may admit the next attempt:
            # another entry fetched this one before its offer arrived.
            progress.tried.add(attempt.endpoint)
        progress.refusal = error
        if not progress.budget.spend():
            raise self._final_error() from error

    def retry_or_raise(self, attempt: Attempt, error: Exception) -> None:
        """Prepare the next attempt after an error, or raise the final error."""
        if isinstance(error, NotRunError):
            self.record_refusal(attempt, error)
            return
        progress = self._progress
        if not progress.may_repeat:
            raise _to_request_error(error)
        attempt.cancel()
        progress.in_doubt = True
        progress.tried.add(attempt.endpoint)
        if not progress.budget.spend():
            raise _to_request_error(error)

    async def _recover_claimed(self) -> Attempt | None:
        """Recover the attempt that holds the claim of the key, if any.

        An earlier attempt under the key may have run. So the claim is read
        even when no endpoint is usable: otherwise the refusal would wrongly
        state that the request did not run.
        """
        claim = await self._await_claim_store(
            self._context.claims.look_up(self._request.key_digest)
        )
        if claim is None or not claim.endpoint:
            return None
        view = self._context.fleet.views.get(claim.endpoint)
        if view is None:
            raise RequestFailedError(ErrorKind.outcome_unknown)
        attempt = Attempt(self._request, self._context.links.open(view), claim)
        self._progress.current = attempt
        self._check_same_body(claim)
        return attempt if await self._recover_claim_holder(attempt) else None

    async def _try_attempt(self, attempt: Attempt) -> bool:
        """Return whether the attempt is admitted; False to try another."""
        if self._request.key and not await self._claim(attempt):
            return await self._recover_claim_holder(attempt)
        attempt.offer(self._context.seconds_left(self._request))
        try:
            await attempt.await_admission()
        except NotRunError as error:
            self.record_refusal(attempt, error)
            return False
        except (DoubtError, AttemptFailedError) as error:
            return await self._retry_or_recover(attempt, error)
        return True

    async def _retry_or_recover(
        self, attempt: Attempt, error: Exception
    ) -> bool:
        if self._progress.may_repeat:
            self.retry_or_raise(attempt, error)
            return False
        return await self._recovery.recover(attempt)

    def _next_attempt(self) -> Attempt:
        progress = self._progress
        previous = progress.current
        view = self._choose_endpoint()
        attempt = Attempt(
            self._request,
            self._context.links.open(view),
            previous.claim if previous else None,
        )
        progress.current = attempt
        progress.attempts += 1
        return attempt

    def _usable_endpoints(self) -> list[EndpointView]:
        if self._progress.attempts >= _MAX_ATTEMPTS:
            return []
        return self._context.fleet.usable(
            self._request.organisation.team,
            self._request.service,
            self._progress.tried,
        )

    def _has_candidate(self) -> bool:
        return self._progress.current is not None or bool(
            self._usable_endpoints()
        )

    def _choose_endpoint(self) -> EndpointView:
        request = self._request
        context = self._context
        usable = self._usable_endpoints()
        if not usable:
            raise self._final_error()
        routing_input = RoutingInput(
            request.organisation.full_name, request.prompt
        )
        choice = context.policy.choose(usable, routing_input)
        choice.endpoint.offered += 1
        context.metrics.count('offers')
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
            revision=self._context.store.revision_of(organisation.team),
        )

    def _final_error(self) -> RequestFailedError:
        if self._progress.in_doubt:
            # An attempt may have run, so the error must not state that the
            # request did not run.
            return RequestFailedError(ErrorKind.outcome_unknown)
        refusal = self._progress.refusal
        if refusal is None:
            return self._unplaced_error()
        self._release_claim()
        seconds = refusal.retry_seconds or _NO_ENDPOINT_RETRY_SECONDS
        return self._refusal_error(refusal.kind, seconds)

    def _unplaced_error(self) -> RequestFailedError:
        request = self._request
        vetoes = self._context.fleet.vetoes(
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
        only_domain_out = set(vetoes) == {Veto.domain_out}
        kind = (
            ErrorKind.domain_out if only_domain_out else ErrorKind.no_endpoint
        )
        return self._refusal_error(kind, _NO_ENDPOINT_RETRY_SECONDS)

    def _refusal_error(
        self, kind: ErrorKind, seconds: float
    ) -> RequestFailedError:
        jittered_seconds = jitter(seconds, self._context.random.random())
        return RequestFailedError(kind, retry_seconds=jittered_seconds)

    async def _claim(self, attempt: Attempt) -> bool:
        """Claim the key for an attempt; False when another attempt holds it."""
        previous = attempt.claim
        record = self._make_claim(attempt)
        proposal = ClaimProposal(record, previous.nonce if previous else '')
        result = await self._await_claim_store(
            self._context.claims.claim(proposal)
        )
        attempt.claim = result.record
        self._check_same_body(result.record)
        return result.granted

    async def _await_claim_store(
        self, operation: Awaitable[_Result]
    ) -> _Result:
        # Without a claim an offer could run the request twice. An earlier
        # attempt under the key may have run, so the error must not state
        # that the request did not run.
        try:
            return await operation
        except (StoreUnavailableError, WireError) as error:
            log_event('claim_failed', 'WARNING', why=type(error).__name__)
            raise self._refusal_error(
                ErrorKind.claim_unreadable, _STORE_RETRY_SECONDS
            ) from error

    def _check_same_body(self, claim: wire.ClaimRecord) -> None:
        if claim.body_digest != self._request.body_digest:
            raise RequestFailedError(ErrorKind.key_reused)

    def _make_claim(self, attempt: Attempt) -> wire.ClaimRecord:
        previous = attempt.claim
        return wire.ClaimRecord(
            digest=self._request.key_digest,
            nonce=make_identifier(),
            attempt=attempt.name,
            number=previous.number + 1 if previous else 1,
            endpoint=attempt.endpoint,
            incarnation=attempt.incarnation,
            body_digest=self._request.body_digest,
            claimed_at=int(self._context.clock.wall()),
        )

    async def _recover_claim_holder(self, attempt: Attempt) -> bool:
        """Recover the attempt that holds the claim.

        Returns
        -------
        bool
            False when it is certain that the holder never runs, so that
            another attempt may replace its claim.
        """
        claim = attempt.claim
        if not claim.endpoint:
            return False
        view = self._context.fleet.views.get(claim.endpoint)
        if view is None:
            raise RequestFailedError(ErrorKind.outcome_unknown)
        attempt.client = self._context.links.open(view)
        attempt.name = claim.attempt
        attempt.incarnation = claim.incarnation
        self._context.metrics.count('claims_collected')
        return await self._recovery.recover(attempt)

    def _release_claim(self) -> None:
        """Release the claim of an attempt that was refused for good.

        It is replaced by a claim without an endpoint, which any retry may
        replace in turn. Otherwise a later retry would have to ask the
        endpoint that refused, and would get an unknown outcome once that
        endpoint is replaced.
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

    async def _write_release(self, proposal: ClaimProposal) -> None:
        try:
            await self._context.claims.claim(proposal)
        except (StoreUnavailableError, WireError) as error:
            log_event('release_failed', 'WARNING', why=type(error).__name__)


def _to_request_error(error: Exception) -> RequestFailedError:
    if isinstance(error, RequestFailedError):
        return error
    return RequestFailedError(ErrorKind.outcome_unknown)
