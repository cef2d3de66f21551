"""This node's own proposals: sent to the leader repeatedly until one result ends each.

APPLIED when the entry was applied here; REJECTED when it was never sent; UNKNOWN when its time is over. An id
that is pending already has one result for both times that it was proposed.
"""

from dataclasses import dataclass
from typing import NamedTuple

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import MAX_ID_CHARACTERS, NodeInstance
from molereach.coordination.interface.log import (
    MAX_ENTRY_BODY_BYTES,
    ProposalFinished,
    ProposalStatus,
    Propose,
)
from molereach.coordination.replicated_log.learner import LOG_MACHINE, Learner
from molereach.coordination.replicated_log.messages import ProposalRequest
from molereach.coordination.replicated_log.settings import LogSettings


@dataclass(slots=True)
class _PendingProposal:
    request: ProposalRequest
    deadline_us: int
    retry_at_us: int
    attempts: int = 0


class DueRequest(NamedTuple):
    """A request to send now, and how often it was sent before."""

    request: ProposalRequest
    attempts: int


class ProposalTracker:
    """The pending proposals, by id."""

    def __init__(self, me: NodeInstance, settings: LogSettings, learner: Learner) -> None:
        self.instance = me
        self.settings = settings
        self.learner = learner
        self.pending: dict[str, _PendingProposal] = {}

    def propose(self, now_us: int, event: Propose) -> ProposalFinished | None:
        """Take a proposal; its result where it ends at once."""
        if event.id in self.pending:
            pending = self.pending[event.id]
            pending.deadline_us = max(pending.deadline_us, now_us + event.timeout_us)
            return None
        machine = event.machine or LOG_MACHINE
        known = machine == LOG_MACHINE or machine in self.learner.machines
        fits = len(event.body) <= MAX_ENTRY_BODY_BYTES and 0 < len(event.id) <= MAX_ID_CHARACTERS
        if not known or not fits or len(self.pending) >= self.settings.max_pending:
            return ProposalFinished(event.id, ProposalStatus.REJECTED)
        request = ProposalRequest(machine, event.id, self.instance, self.learner.position, event.body)
        if over := self._result(request):
            return over
        self.pending[event.id] = _PendingProposal(request, now_us + event.timeout_us, now_us)
        return None

    def _result(self, request: ProposalRequest) -> ProposalFinished | None:
        found = self.learner.outcome_of(request.id, request.machine, request.body)
        if found is None:
            return None
        return ProposalFinished(request.id, ProposalStatus.APPLIED, found.outcome, found.position)

    def finish_applied(self) -> list[ProposalFinished]:
        """Those that have been applied here by now."""
        overs = [over for each in self.pending.values() if (over := self._result(each.request))]
        for over in overs:
            del self.pending[over.id]
        return overs

    def expire(self, now_us: int) -> list[ProposalFinished]:
        """Remove the proposals whose deadline has passed."""
        late = [key for key, each in self.pending.items() if now_us >= each.deadline_us]
        for key in late:
            del self.pending[key]
        return [ProposalFinished(key, ProposalStatus.UNKNOWN) for key in late]

    def due_requests(self, now_us: int) -> list[DueRequest]:
        """The requests that are due, with the number of earlier attempts."""
        requests = []
        for each in self.pending.values():
            if now_us >= each.retry_at_us:
                requests.append(DueRequest(each.request, each.attempts))
                each.attempts += 1
                each.retry_at_us = now_us + self.settings.retry_interval_us
        return requests

    def retry_now(self) -> None:
        """Send all at once, as another leader is known."""
        for each in self.pending.values():
            each.retry_at_us = 0
            each.attempts = 0

    @property
    def wake_us(self) -> int:
        """When a deadline or retry is due; `NEVER_US` for none."""
        return min(
            (min(each.deadline_us, each.retry_at_us) for each in self.pending.values()), default=NEVER_US
        )
