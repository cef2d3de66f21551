"""The proposals of this node, which are resent to the leader until each has a result.

APPLIED if the entry was applied at this node, REJECTED if it was never sent, UNKNOWN if its deadline passed.
An id that is proposed again while it is pending has one result for both.
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
    """A request to send now, and the number of earlier attempts."""

    request: ProposalRequest
    attempts: int


class ProposalTracker:
    """The pending proposals of this node, by id."""

    def __init__(self, instance: NodeInstance, settings: LogSettings, learner: Learner) -> None:
        self.instance = instance
        self.settings = settings
        self.learner = learner
        self.pending: dict[str, _PendingProposal] = {}

    def propose(self, now_us: int, event: Propose) -> ProposalFinished | None:
        """Add a proposal, or return its result if that is known at once."""
        if event.id in self.pending:
            pending = self.pending[event.id]
            pending.deadline_us = max(pending.deadline_us, now_us + event.timeout_us)
            return None
        machine = event.machine or LOG_MACHINE
        known_machine = machine == LOG_MACHINE or machine in self.learner.machines
        within_bounds = len(event.body) <= MAX_ENTRY_BODY_BYTES and 0 < len(event.id) <= MAX_ID_CHARACTERS
        if not known_machine or not within_bounds or len(self.pending) >= self.settings.max_pending:
            return ProposalFinished(event.id, ProposalStatus.REJECTED)
        request = ProposalRequest(machine, event.id, self.instance, self.learner.position, event.body)
        if result := self._result(request):
            return result
        self.pending[event.id] = _PendingProposal(request, now_us + event.timeout_us, now_us)
        return None

    def _result(self, request: ProposalRequest) -> ProposalFinished | None:
        found = self.learner.outcome_of(request.id, request.machine, request.body)
        if found is None:
            return None
        return ProposalFinished(request.id, ProposalStatus.APPLIED, found.outcome, found.position)

    def finish_applied(self) -> list[ProposalFinished]:
        """Remove the proposals that have been applied at this node, and return their results."""
        finished = [result for pending in self.pending.values() if (result := self._result(pending.request))]
        for result in finished:
            del self.pending[result.id]
        return finished

    def expire(self, now_us: int) -> list[ProposalFinished]:
        """Remove the proposals whose deadline has passed, and return their results."""
        expired_ids = [
            proposal_id for proposal_id, pending in self.pending.items() if now_us >= pending.deadline_us
        ]
        for proposal_id in expired_ids:
            del self.pending[proposal_id]
        return [ProposalFinished(proposal_id, ProposalStatus.UNKNOWN) for proposal_id in expired_ids]

    def due_requests(self, now_us: int) -> list[DueRequest]:
        """Return the requests that are due, and schedule their next attempts."""
        requests = []
        for pending in self.pending.values():
            if now_us >= pending.retry_at_us:
                requests.append(DueRequest(pending.request, pending.attempts))
                pending.attempts += 1
                pending.retry_at_us = now_us + self.settings.retry_interval_us
        return requests

    def retry_now(self) -> None:
        """Make all requests due now, as another leader is known."""
        for pending in self.pending.values():
            pending.retry_at_us = 0
            pending.attempts = 0

    @property
    def wake_us(self) -> int:
        """When the next deadline or retry is due; `NEVER_US` for none."""
        return min(
            (min(pending.deadline_us, pending.retry_at_us) for pending in self.pending.values()),
            default=NEVER_US,
        )
