"""A front door's own session: opened, renewed each beat, and found to be over before others take it for over.

It counts from when it asked, by its own clock, for less than the duration: whoever ends it counts from later
and for more. A session that has lapsed here but is not ended in the log may be renewed under the same fence;
one that was ended is opened anew once that was applied here, so what was settled meanwhile is known first.

Sources: Gray and Cheriton, "Leases" (SOSP 1989), section 2; Burrows, "The Chubby lock service" (OSDI 2006),
section 2.8.
"""

from collections.abc import Callable, Sequence

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    LeaderChanged,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.coordination.interface.sessions import RenewalRequest, SessionTerms
from molereach.coordination.leases.bodies import Body, CloseSession, OpenSession
from molereach.coordination.leases.messages import (
    RENEWAL_INTERVAL_US,
    GrantsReceived,
    LeaseAcquired,
    LeaseLost,
    LeasePhase,
    ReleaseLease,
)
from molereach.coordination.leases.proposal import PROPOSAL_TIMEOUT_INTERVALS, RetriedProposal
from molereach.coordination.leases.renewals import PendingRenewals
from molereach.coordination.leases.sessions import SessionRegistry

MAX_BACKOFF_INTERVALS = 10

Event = Tick | Applied | Restored | ProposalFinished | GrantsReceived | LeaderChanged | ReleaseLease
Action = Propose | RenewalRequest | LeaseAcquired | LeaseLost


class LeaseHolder:
    """Implements `Session`. `Applied` is handed in after all that stands on the log has acted on it."""

    def __init__(
        self,
        life: NodeInstance,
        sessions: SessionRegistry,
        terms: SessionTerms,
        draw: Callable[[], float],
        beat_us: int = RENEWAL_INTERVAL_US,
    ) -> None:
        self.incarnation, self.sessions, self.terms, self.random_fraction, self.renewal_interval_us = (
            life,
            sessions,
            terms,
            draw,
            beat_us,
        )
        self.phase = LeasePhase.ABSENT
        self.position = 0  # of the log, applied here
        self._fencing_token = 0  # of the session that is open, held or not
        self._expires_at_us = 0  # up to then it is held
        self._held_token = 0  # the fence of the session that is held, as last told; 0 for none
        self._loss_reason = ""
        self._reported_position = 0
        self._renewals = PendingRenewals(life)
        self._failed_attempts = 0  # tries without an answer, while nothing is held
        self._next_action_us = 0  # when it asks or proposes next
        # Up to where nothing that entries forbid is under way here: told by whoever stands on the log.
        self.clear: Callable[[int], int] = lambda position: position
        self._opening: RetriedProposal | None = None
        self._closing: RetriedProposal | None = None

    # --- Session ---

    def holds(self, now_us: int) -> bool:
        return now_us < self._expires_at_us  # 0 in every phase but OPEN

    @property
    def fencing_token(self) -> int:
        """As of the last event: `holds` is to be asked first."""
        return self._held_token

    @property
    def applied_position(self) -> int:
        """What the last ask told that was granted."""
        return self._reported_position

    # --- Core ---

    @property
    def wake_us(self) -> int:
        return min(self._next_action_us, self._expires_at_us) if self._held_token else self._next_action_us

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        match event:
            case GrantsReceived() if self.phase is LeasePhase.OPEN:
                self._apply_grants(now_us, event)
            case Applied():
                self.position = event.entry.position
                mine = self._opening is not None and event.entry.id == self._opening.id
                self._follow_log(now_us, event.entry.position if mine else 0)
            case Restored():
                self.position = event.position
                self._follow_log(now_us, 0)
            case ProposalFinished():
                self._handle_proposal_result(now_us, event)
            case LeaderChanged() if event.leader is not None:  # one that may answer; not all ask it at once
                self._failed_attempts = 0
                self._next_action_us = min(
                    self._next_action_us, now_us + int(self.random_fraction() * self.renewal_interval_us)
                )
            case ReleaseLease():
                self._release(now_us)
            case _:
                pass
        told = self._report_changes(now_us)
        return told + self._next_actions(now_us) if now_us >= self._next_action_us else told

    def _report_changes(self, now_us: int) -> list[Action]:
        """Say when it begins or ceases to be held."""
        held, before = (self._fencing_token if self.holds(now_us) else 0), self._held_token
        self._held_token = held
        why, self._loss_reason = self._loss_reason or "not renewed in time", ""
        if held == before:
            return []
        lost: list[Action] = [LeaseLost(before, why)] if before else []
        return [*lost, LeaseAcquired(held)] if held else lost

    # --- what the log says ---

    def _follow_log(self, now_us: int, mine: int) -> None:
        """Keep to what was applied here; `mine` is the position at which the own proposal was settled."""
        opened, highest = (
            self.sessions.active_session(self.incarnation.name),
            self.sessions.latest_incarnation(self.incarnation.name),
        )
        if highest is not None and highest > self.incarnation:
            self._end_session("a later life has the name", LeasePhase.SUPERSEDED)
        elif opened is not None and opened.incarnation == self.incarnation:
            if opened.fencing_token != self._fencing_token and self.position >= opened.fencing_token:
                self._start_session(now_us, opened.fencing_token, mine)
        elif self._fencing_token:
            self._end_session(
                "ended in the log", LeasePhase.LEFT if self.phase is LeasePhase.LEAVING else LeasePhase.ABSENT
            )
            self._next_action_us = now_us

    def _start_session(self, now_us: int, fence: int, mine: int) -> None:
        # Where another proposal opened it than the one under way, only a grant says from when it counts.
        made_us = self._opening.first_proposed_us if self._opening and fence == mine else None
        leaves = self.phase in (
            LeasePhase.LEAVING,
            LeasePhase.LEFT,
        )  # an opening that was settled late is closed again
        self._end_session("ended in the log", LeasePhase.LEAVING if leaves else LeasePhase.OPEN)
        self._expires_at_us = 0 if made_us is None or leaves else made_us + self.terms.holder_duration_us
        self._fencing_token, self._next_action_us, self._failed_attempts = fence, now_us, 0

    def _end_session(self, why: str, phase: LeasePhase) -> None:
        self._fencing_token, self._expires_at_us, self._loss_reason, self.phase = 0, 0, why, phase
        self._opening = self._closing = None
        self._renewals.clear()

    def _handle_proposal_result(self, now_us: int, event: ProposalFinished) -> None:
        if self._closing and event.id == self._closing.id:
            self._next_action_us = now_us + self.renewal_interval_us
        if self._opening is None or event.id != self._opening.id:
            return
        self._next_action_us = max(now_us, self._opening.last_proposed_us + self._backoff_us())
        # Settled, and applied here, and it opened nothing: refused by a rule, or over again already.
        settled = event.status is ProposalStatus.APPLIED and self.position >= event.position
        if settled or event.status is ProposalStatus.REJECTED:
            self._opening = None
        if self.phase is LeasePhase.LEAVING:
            self.phase = LeasePhase.LEFT  # if it is settled yet, it is held by nobody

    # --- renewals, and the end in order ---

    def _apply_grants(self, now_us: int, event: GrantsReceived) -> None:
        for grant in event.grants:
            if found := self._renewals.match_grant(grant):
                made_us, ask = found
                self._expires_at_us = max(self._expires_at_us, made_us + self.terms.holder_duration_us)
                self._reported_position, self._failed_attempts = ask.applied_position, 0
                self._next_action_us = min(self._next_action_us, now_us + self.renewal_interval_us)

    def _release(self, now_us: int) -> None:
        if self.phase is LeasePhase.OPEN or (self.phase is LeasePhase.ABSENT and self._opening):
            self.phase, self._expires_at_us, self._next_action_us, self._loss_reason = (
                LeasePhase.LEAVING,
                0,
                now_us,
                "leaves",
            )
        elif self.phase is LeasePhase.ABSENT:
            self.phase = LeasePhase.LEFT

    # --- time ---

    def _backoff_us(self) -> int:
        return self.renewal_interval_us * min(
            MAX_BACKOFF_INTERVALS, 1 << min(self._failed_attempts, MAX_BACKOFF_INTERVALS)
        )

    def _next_actions(self, now_us: int) -> list[Action]:
        """Ask, or propose, and say when next."""
        match self.phase:
            case LeasePhase.OPEN:
                self._next_action_us = now_us + (
                    self.renewal_interval_us if self._held_token else self._backoff_us()
                )
                self._failed_attempts = 0 if self._held_token else self._failed_attempts + 1
                return [
                    self._renewals.create(
                        now_us, self._fencing_token, self.position, self.clear(self.position)
                    )
                ]
            case LeasePhase.ABSENT:
                self._failed_attempts += 1
                self._opening = self._opening or self._new_proposal(
                    now_us, "open", OpenSession(self.incarnation)
                )
                return [self._propose(now_us, self._opening)]
            case LeasePhase.LEAVING if self._fencing_token:
                self._closing = self._closing or self._new_proposal(
                    now_us, "close", CloseSession(self.incarnation, self._fencing_token)
                )
                return [self._propose(now_us, self._closing)]
            case _:
                self._next_action_us = NEVER_US
                return []

    def _new_proposal(self, now_us: int, what: str, body: Body) -> RetriedProposal:
        return RetriedProposal(
            f"{what}.{self.incarnation.number:x}.{int(self.random_fraction() * (1 << 53)):x}", body, now_us
        )

    def _propose(self, now_us: int, proposal: RetriedProposal) -> Propose:
        # The log's word on it comes before that, unless it is lost.
        self._next_action_us = now_us + (PROPOSAL_TIMEOUT_INTERVALS + 1) * self.renewal_interval_us
        return proposal.propose(now_us, self.renewal_interval_us)
