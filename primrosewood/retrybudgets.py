"""Retry budgets of all services that an entry calls."""

from collections.abc import Callable

from . import gen_wire as wire
from .backendstate import Backend
from .clock import RandomSource
from .directcalls import DirectCall
from .entrycount import EntryCount
from .logs import log_decision
from .repeatbudget import RepeatBudget, RepeatRule
from .retryhistory import RetryHistory
from .unreadsends import UnreadSend

__all__ = ('RetryBudgets',)


class RetryBudgets:
    """One retry budget for each service, all by the same rule."""

    def __init__(
        self,
        rule: RepeatRule,
        entries: EntryCount,
        started_at: float,
        random: RandomSource,
        history: RetryHistory | None,
        report: Callable[[wire.RetryRecord], None],
        is_kept: Callable[[], bool] | None = None,
    ) -> None:
        """Start without requests and retries.

        Parameters
        ----------
        entries
            Number of entries that share the limit.
        started_at
            Monotonic seconds at which this process started.
        history
            Tells what the process that ran here before has used; None if there
            was none.
        report
            Reports the retries of a service to processes that keep them for
            the next process.
        is_kept
            Returns whether any of them is there to keep what is reported now;
            None if nobody has to.
        """
        self._rule = rule
        self._entries = entries
        self._started_at = started_at
        self._random = random
        self._history = history
        self._report = report
        self._is_kept = is_kept
        self._budgets: dict[str, RepeatBudget] = {}

    def update_rule(self, rule: RepeatRule) -> None:
        """Apply a changed limit; requests and retries so far still count."""
        self._rule = rule
        for budget in self._budgets.values():
            budget.rule = rule

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request, which earns retries."""
        self._budget(service).record_request(now)

    def allows(self, call: DirectCall, now: float) -> bool:
        """Return whether a retry is left for a call."""
        self._restore_earlier()
        whole_share = self._history is None and self._may_rely_on_reports()
        return self._budget(call.service).allows(now, whole_share=whole_share)

    def spend(
        self, call: DirectCall, now: float, resumes: bool = False
    ) -> bool:
        """Take one retry for a call; return False if none is left.

        Parameters
        ----------
        resumes
            Whether a moved stream is resumed.
        """
        self._restore_earlier()
        past_known = self._history is None
        kept = self._may_rely_on_reports()
        budget = self._budget(call.service)
        allowed = budget.spend(now, resumes, past_known and kept)
        log_decision(
            'retry_decided',
            request=call.name,
            service=call.service,
            resumes=resumes or None,
            allowed=allowed,
            retries=budget.repeats,
            held=budget.held or None,
            requests=budget.requests,
            entries=self._entries.shares,
            known=self._entries.known,
            up=now - self._started_at,
            past_known=past_known,
            kept=kept,
        )
        if allowed:
            self._report_if_complete(budget, call.service, now)
        return allowed

    def hold(self, call: DirectCall, unread: UnreadSend, now: float) -> None:
        """Count a retry of a call until an unread send of it is settled."""
        budget = self._budget(call.service)
        budget.hold(unread)
        log_decision(
            'retry_held',
            request=call.name,
            service=call.service,
            endpoint=unread.backend.name,
            age=now - unread.sent_at,
        )
        self._report_if_complete(budget, call.service, now)

    def settle(self, backend: Backend, sent_at: float, now: float) -> None:
        """Note that a back end has answered a call sent at a time."""
        budget = self._budgets.get(backend.record.service)
        if budget is not None and budget.held:
            budget.settle(backend, sent_at, now)

    def _report_if_complete(
        self, budget: RepeatBudget, service: str, now: float
    ) -> None:
        # Without the retries of the process before, a report would replace a
        # more complete one.
        if self._history is None:
            self._report(budget.make_record(service, now))

    def _may_rely_on_reports(self) -> bool:
        return self._is_kept is None or self._is_kept()

    def _restore_earlier(self) -> None:
        """Count the retries of the process before once they are known."""
        if self._history is None or not self._history.complete:
            return
        for earlier in self._history.take():
            self._budget(earlier.service).restore(earlier)
        self._history = None

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RepeatBudget(
                self._rule,
                self._entries,
                self._started_at,
                rounding=1 - self._random.random(),
            )
            self._budgets[service] = budget
        return budget
