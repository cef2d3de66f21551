"""A proxy's own session: opens and renews it, and treats it as expired before any other node does.

A session is the state that the log holds: open or ended, under one fencing token. Its lease is the time for
which it is valid: the holder counts the duration on its own clock from when it sent the request, less the
clock drift; the lease manager starts to count later and adds the drift.

A session whose lease has lapsed here but that has not ended in the log can be renewed under the same fencing
token. After a session has ended in the log, a new one is opened only once that end was applied here, so that
all earlier entries are applied first.

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

MAX_BACKOFF_INTERVALS = 10  # in renewal intervals; bounds the exponent too, to keep the power of 2 small
PROPOSAL_ID_BITS = 53  # random bits in a proposal's id, as many as a float's significand has

Event = Tick | Applied | Restored | ProposalFinished | GrantsReceived | LeaderChanged | ReleaseLease
Action = Propose | RenewalRequest | LeaseAcquired | LeaseLost


class LeaseHolder:
    """Implements `Session`. It handles `Applied` after every state machine on the log has applied the entry.

    Times are in microseconds of this node's monotonic clock; `random_fraction` draws from [0, 1).
    """

    def __init__(
        self,
        instance: NodeInstance,
        sessions: SessionRegistry,
        terms: SessionTerms,
        random_fraction: Callable[[], float],
        renewal_interval_us: int = RENEWAL_INTERVAL_US,
    ) -> None:
        self.instance = instance
        self.sessions = sessions
        self.terms = terms
        self.random_fraction = random_fraction
        self.renewal_interval_us = renewal_interval_us
        self.phase = LeasePhase.ABSENT
        self.position = 0  # up to which the log was applied here
        self._open_token = 0  # of the session that is open in the log, valid or lapsed; 0 for none
        self._expires_at_us = 0  # the session is valid before this time
        self._valid_token = 0  # of the session that was valid at the last event; 0 for none
        self._loss_reason = ""
        self._granted_position = 0  # the applied position in the last granted request
        self._renewals = PendingRenewals(instance)
        self._failed_attempts = 0  # successive requests and proposals without success; sets the backoff
        self._next_action_us = 0  # when the next request or proposal is due
        # Maps the applied position to the clear position: nothing that an entry up to there forbids is in
        # flight here.
        self.clear_position_for: Callable[[int], int] = lambda position: position
        self._opening: RetriedProposal | None = None
        self._closing: RetriedProposal | None = None

    # --- Session ---

    def holds(self, now_us: int) -> bool:
        """Whether the session is valid at `now_us`."""
        return now_us < self._expires_at_us  # it is 0 in every phase but OPEN

    @property
    def fencing_token(self) -> int:
        """The fencing token of the session that was valid at the last event; check `holds` first."""
        return self._valid_token

    @property
    def applied_position(self) -> int:
        """The applied position in the last granted request."""
        return self._granted_position

    # --- Core ---

    @property
    def wake_us(self) -> int:
        """When the next `Tick` is due; `NEVER_US` for never."""
        if self._valid_token:
            return min(self._next_action_us, self._expires_at_us)
        return self._next_action_us

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        """Apply one event at `now_us`; returns the actions to carry out, in order."""
        match event:
            case GrantsReceived() if self.phase is LeasePhase.OPEN:
                self._apply_grants(now_us, event)
            case Applied():
                self.position = event.entry.position
                is_opening = self._opening is not None and event.entry.id == self._opening.id
                self._follow_log(now_us, event.entry.position if is_opening else 0)
            case Restored():
                self.position = event.position
                self._follow_log(now_us, 0)
            case ProposalFinished():
                self._handle_proposal_result(now_us, event)
            case LeaderChanged() if event.leader is not None:
                self._handle_new_leader(now_us)
            case ReleaseLease():
                self._release(now_us)
            case _:
                pass
        changes = self._report_changes(now_us)
        return changes + self._next_actions(now_us) if now_us >= self._next_action_us else changes

    def _handle_new_leader(self, now_us: int) -> None:
        """Retry soon, as the new leader may answer; jitter spreads the requests of the holders."""
        self._failed_attempts = 0
        jitter_us = int(self.random_fraction() * self.renewal_interval_us)
        self._next_action_us = min(self._next_action_us, now_us + jitter_us)

    def _report_changes(self, now_us: int) -> list[Action]:
        """Return `LeaseAcquired` and `LeaseLost` for a change since the last event."""
        current = self._open_token if self.holds(now_us) else 0
        previous = self._valid_token
        self._valid_token = current
        reason = self._loss_reason or "not renewed in time"
        self._loss_reason = ""
        changes: list[Action] = []
        if current == previous:
            return changes
        if previous:
            changes.append(LeaseLost(previous, reason))
        if current:
            changes.append(LeaseAcquired(current))
        return changes

    # --- session state in the log ---

    def _follow_log(self, now_us: int, opening_position: int) -> None:
        """Follow the applied log; `opening_position` is that of the current opening proposal, else 0."""
        opened = self.sessions.active_session(self.instance.name)
        latest = self.sessions.latest_instance(self.instance.name)
        if latest is not None and latest > self.instance:
            self._end_session("a later life has the name", LeasePhase.SUPERSEDED)
        elif opened is not None and opened.instance == self.instance:
            # The fencing token is the position of the entry that opened the session.
            if opened.fencing_token != self._open_token and self.position >= opened.fencing_token:
                self._start_session(now_us, opened.fencing_token, opening_position)
        elif self._open_token:
            is_leaving = self.phase is LeasePhase.LEAVING
            self._end_session("ended in the log", LeasePhase.LEFT if is_leaving else LeasePhase.ABSENT)
            self._next_action_us = now_us

    def _start_session(self, now_us: int, fencing_token: int, opening_position: int) -> None:
        # If a proposal other than the current one opened it, its start is unknown until a grant arrives.
        opened_by_proposal = self._opening is not None and fencing_token == opening_position
        proposed_us = self._opening.first_proposed_us if self._opening and opened_by_proposal else None
        # If the opening was chosen only after `ReleaseLease`, the new session is closed at once.
        is_leaving = self.phase in (LeasePhase.LEAVING, LeasePhase.LEFT)
        self._end_session("ended in the log", LeasePhase.LEAVING if is_leaving else LeasePhase.OPEN)
        if proposed_us is not None and not is_leaving:
            self._expires_at_us = proposed_us + self.terms.holder_duration_us
        self._open_token = fencing_token
        self._next_action_us = now_us
        self._failed_attempts = 0

    def _end_session(self, reason: str, phase: LeasePhase) -> None:
        self._open_token = 0
        self._expires_at_us = 0
        self._loss_reason = reason
        self.phase = phase
        self._opening = None
        self._closing = None
        self._renewals.clear()

    def _handle_proposal_result(self, now_us: int, event: ProposalFinished) -> None:
        if self._closing and event.id == self._closing.id:
            self._next_action_us = now_us + self.renewal_interval_us
        if self._opening is None or event.id != self._opening.id:
            return
        self._next_action_us = max(now_us, self._opening.last_proposed_us + self._backoff_us())
        # Applied here, but no session is open: the state machine rejected it, or the session has ended since.
        is_applied = event.status is ProposalStatus.APPLIED and self.position >= event.position
        if is_applied or event.status is ProposalStatus.REJECTED:
            self._opening = None
        if self.phase is LeasePhase.LEAVING:
            self.phase = LeasePhase.LEFT  # if the proposal opens a session after all, that is closed again

    # --- renewal and release ---

    def _apply_grants(self, now_us: int, event: GrantsReceived) -> None:
        for grant in event.grants:
            if renewal := self._renewals.match_grant(grant):
                expires_at_us = renewal.sent_at_us + self.terms.holder_duration_us
                self._expires_at_us = max(self._expires_at_us, expires_at_us)
                self._granted_position = renewal.request.applied_position
                self._failed_attempts = 0
                self._next_action_us = min(self._next_action_us, now_us + self.renewal_interval_us)

    def _release(self, now_us: int) -> None:
        if self.phase is LeasePhase.OPEN or (self.phase is LeasePhase.ABSENT and self._opening):
            self.phase = LeasePhase.LEAVING
            self._expires_at_us = 0
            self._next_action_us = now_us
            self._loss_reason = "leaves"
        elif self.phase is LeasePhase.ABSENT:
            self.phase = LeasePhase.LEFT

    # --- due actions ---

    def _backoff_us(self) -> int:
        exponent = min(self._failed_attempts, MAX_BACKOFF_INTERVALS)
        return self.renewal_interval_us * min(MAX_BACKOFF_INTERVALS, 1 << exponent)

    def _next_actions(self, now_us: int) -> list[Action]:
        """Return the request or proposal that is due, and schedule the next one."""
        match self.phase:
            case LeasePhase.OPEN:
                return [self._renew(now_us)]
            case LeasePhase.ABSENT:
                self._failed_attempts += 1
                if self._opening is None:
                    self._opening = self._new_proposal(now_us, "open", OpenSession(self.instance))
                return [self._propose(now_us, self._opening)]
            case LeasePhase.LEAVING if self._open_token:
                if self._closing is None:
                    close = CloseSession(self.instance, self._open_token)
                    self._closing = self._new_proposal(now_us, "close", close)
                return [self._propose(now_us, self._closing)]
            case _:
                self._next_action_us = NEVER_US
                return []

    def _renew(self, now_us: int) -> RenewalRequest:
        if self._valid_token:
            self._next_action_us = now_us + self.renewal_interval_us
            self._failed_attempts = 0
        else:
            self._next_action_us = now_us + self._backoff_us()
            self._failed_attempts += 1
        return self._renewals.create(
            now_us, self._open_token, self.position, self.clear_position_for(self.position)
        )

    def _new_proposal(self, now_us: int, kind: str, body: Body) -> RetriedProposal:
        random_number = int(self.random_fraction() * (1 << PROPOSAL_ID_BITS))
        return RetriedProposal(f"{kind}.{self.instance.number:x}.{random_number:x}", body, now_us)

    def _propose(self, now_us: int, proposal: RetriedProposal) -> Propose:
        # The log reports a result before the next attempt is due, unless the result is lost.
        self._next_action_us = now_us + (PROPOSAL_TIMEOUT_INTERVALS + 1) * self.renewal_interval_us
        return proposal.propose(now_us, self.renewal_interval_us)
