"""The leader's part of a purge: it proposes `CompletePurges` once the proof for a purge is complete.

The driver may be wrong, late, stop at any step or run at two front doors at once: the machine takes from it
only which open sessions have reported a clear position, and such a report stays true. Another leader starts
anew from the state machine and from what sessions report to it.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from molereach.cache.purge.bodies import (
    MACHINE,
    CompletePurges,
    RequestPurge,
    decode,
    decode_completion_result,
    decode_request_result,
    encode,
)
from molereach.cache.purge.machine import MAX_COMPLETED_PER_ENTRY, Purges
from molereach.cache.purge.records import RequestedPurge
from molereach.coordination.interface.clearance import NodeClearance
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import Applied, LeaderChanged, ProposalFinished, Propose, Restored
from molereach.coordination.leases.acknowledgements import MissingAcknowledgement

CHECK_INTERVAL_US = SECOND_US // 10  # between two checks whether a proof is complete
PROPOSAL_TIMEOUT_US = 2 * SECOND_US  # the log reports UNKNOWN after that
PROPOSAL_RETRY_US = 3 * SECOND_US  # proposes anew after that, whatever became of the last proposal


class ClearanceTracker(Protocol):
    """Tracks which sessions have reported `clear` of an entry; having merely applied it does not count."""

    def proof(self) -> tuple[NodeClearance, ...] | None:
        """The clearances of all sessions; None while one is missing."""
        ...

    def pending(self) -> tuple[MissingAcknowledgement, ...]:
        """The front doors whose report is missing."""
        ...


Event = LeaderChanged | Applied | Restored | ProposalFinished | Tick


class PurgeDriver:
    """Runs at each front door; acts where that leads.

    `create_tracker` takes an entry's position and since when it has been awaited.
    """

    def __init__(self, purges: Purges, create_tracker: Callable[[int, int], ClearanceTracker]) -> None:
        self.purges, self.create_tracker = purges, create_tracker
        self._ballot: int | None = None  # while it leads
        self._leading_since_us = 0
        self._applied_us: dict[int, int] = {}  # by a pending purge's position: when it was applied here
        self._proposal_number = 0
        self._open_proposal_id = ""
        self._next_check_us = 0

    @property
    def wake_us(self) -> int:
        """When the next `Tick` is due."""
        return self._next_check_us if self._ballot is not None and self.purges.oldest_pending(1) else NEVER_US

    def missing_acknowledgements(self, purge: RequestedPurge) -> tuple[MissingAcknowledgement, ...] | None:
        """Which front doors have not cleared a purge, since when by the local clock, and why.

        None where this front door does not lead and so cannot know.
        """
        return None if self._ballot is None else self._tracker(purge).pending()

    def handle(self, now_us: int, event: Event) -> Sequence[Propose]:
        """Process an event; returns the proposal that is due, if any."""
        match event:
            case LeaderChanged():
                self._on_leader_changed(now_us, event)
            case Applied() if event.entry.machine == MACHINE and not event.outcome.error:
                self._on_applied(now_us, event)
            case Restored():
                self._applied_us.clear()
                self._leading_since_us = now_us
            case ProposalFinished() if event.id == self._open_proposal_id:
                self._open_proposal_id, self._next_check_us = "", now_us + CHECK_INTERVAL_US
        return self._check_proofs(now_us) if now_us >= self.wake_us else ()

    def _on_leader_changed(self, now_us: int, event: LeaderChanged) -> None:
        ballot = event.ballot if event.is_self else None
        if ballot != self._ballot:
            self._ballot, self._leading_since_us, self._open_proposal_id, self._next_check_us = (
                ballot,
                now_us,
                "",
                now_us,
            )
            self._applied_us.clear()

    def _on_applied(self, now_us: int, event: Applied) -> None:
        if not isinstance(decode(event.entry.body), RequestPurge):
            last_position = decode_completion_result(event.outcome.value).last_position
            self._applied_us = {
                position: applied_us
                for position, applied_us in self._applied_us.items()
                if position > last_position
            }
            self._next_check_us = min(self._next_check_us, now_us)
        elif decode_request_result(event.outcome.value).requested_position == event.entry.position:
            self._applied_us[event.entry.position] = now_us

    def _tracker(self, purge: RequestedPurge) -> ClearanceTracker:
        return self.create_tracker(
            purge.position, self._applied_us.get(purge.position, self._leading_since_us)
        )

    # --- proposals ---

    def _check_proofs(self, now_us: int) -> list[Propose]:
        """Propose to complete as many of the oldest purges as are proven; one proposal at a time."""
        self._next_check_us = now_us + CHECK_INTERVAL_US
        pending = self.purges.oldest_pending(MAX_COMPLETED_PER_ENTRY)
        while pending:
            if self._tracker(pending[-1]).proof() is not None:
                return [self._propose(now_us, pending[-1])]
            pending = pending[: len(pending) // 2]
        return []

    def _propose(self, now_us: int, last: RequestedPurge) -> Propose:
        # The proof is complete, so each session that is still open has reported `clear`.
        fencing_tokens = tuple(session.fencing_token for session in self.purges.awaited_sessions(last))
        self._proposal_number += 1
        self._open_proposal_id, self._next_check_us = (
            f"purged.{self._ballot}.{self._proposal_number}",
            now_us + PROPOSAL_RETRY_US,
        )
        return Propose(
            MACHINE,
            self._open_proposal_id,
            encode(CompletePurges(last.position, fencing_tokens)),
            PROPOSAL_TIMEOUT_US,
        )
