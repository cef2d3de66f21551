"""The leader's side of sessions: grants renewals and ends expired sessions.

A manager runs at every node and acts only while its node leads.

Ending a session is safe for these reasons. A holder counts its lease from when it sent the request. A manager
grants a renewal only after a leadership confirmation that was sent after the request arrived, so every
request that an earlier leader granted was made before this leader was elected. This leader counts from its
election, and from each later grant of its own, for the whole duration plus the drift of both clocks. After it
has proposed the end of a session it grants that session nothing more. A later leader grants nothing before
its own `BecomeManager` is in the log, and entries after that reject the earlier leader's `EndSession`. A
manager whose process was paused counts from a later time, which errs on the safe side.

Sources: Gray and Cheriton, "Leases" (SOSP 1989), sections 2 and 5; Burrows, "The Chubby lock service" (OSDI
2006), sections 2.8 and 2.9; Ongaro (2014), section 6.4.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    ConfirmLeadership,
    LeaderChanged,
    LeadershipConfirmed,
    ProposalFinished,
    Propose,
    Restored,
)
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest, SessionTerms
from molereach.coordination.leases.bodies import MACHINE, BecomeManager, EndSession, encode
from molereach.coordination.leases.messages import RENEWAL_INTERVAL_US, RenewalsReceived, SendGrants
from molereach.coordination.leases.proposal import PROPOSAL_TIMEOUT_INTERVALS
from molereach.coordination.leases.rounds import RenewalConfirmationRounds
from molereach.coordination.leases.sessions import SessionRegistry

Event = LeaderChanged | RenewalsReceived | LeadershipConfirmed | Tick | Applied | Restored | ProposalFinished
Action = ConfirmLeadership | SendGrants | Propose


@dataclass(slots=True)
class ManagedSession:
    """An open session, as known to the manager. Times are in microseconds of the manager's clock."""

    instance: NodeInstance
    fencing_token: int
    renewed_at_us: int  # the latest of: last grant, opening entry applied here, election
    granted_number: int = 0  # number of the last request that was granted
    applied_position: int = 0  # highest reported
    clear_position: int = 0  # highest reported
    received_at_us: int | None = None  # when the last request arrived
    end_proposed: bool = False  # by this leader, which then grants nothing more
    end_retry_us: int = 0  # when `EndSession` is proposed again


class LeaseManager:
    """Grants renewals, and ends a session once it has expired by every clock."""

    def __init__(
        self,
        sessions: SessionRegistry,
        terms: SessionTerms,
        renewal_interval_us: int = RENEWAL_INTERVAL_US,
    ) -> None:
        self.sessions = sessions
        self.terms = terms
        self.renewal_interval_us = renewal_interval_us
        self.position = 0  # up to which the log was applied here
        self._managed: dict[str, ManagedSession] = {}
        self._ballot: int | None = None  # under which this node leads; None while it does not
        self._takeover_retry_us = 0  # when `BecomeManager` is proposed again
        self._rounds = RenewalConfirmationRounds()

    # --- queries ---

    def report(self, name: str, fencing_token: int) -> ManagedSession | None:
        """The latest report of an open session, or None."""
        session = self._managed.get(name)
        return session if session and session.fencing_token == fencing_token else None

    @property
    def manages(self) -> bool:
        """Whether this node believes that it leads, and its `BecomeManager` is the latest in the log."""
        return self.sessions.ballot == self._ballot

    @property
    def wake_us(self) -> int:
        """When the next `Tick` is due, in microseconds of its clock; `NEVER_US` for never."""
        if self._ballot is None:
            return NEVER_US
        if not self.manages:
            return self._takeover_retry_us
        first_us = min((self._end_due_us(session) for session in self._managed.values()), default=NEVER_US)
        if self._rounds.has_waiting:
            first_us = 0
        last_sent_us = self._rounds.last_sent_us
        return first_us if last_sent_us is None else max(first_us, last_sent_us + self.renewal_interval_us)

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        """Apply one event at `now_us`; returns the actions to carry out, in order."""
        actions: list[Action] = []
        match event:
            case LeaderChanged():
                self._handle_leadership(now_us, event)
            case RenewalsReceived():
                self._handle_renewals(now_us, event.requests)
            case LeadershipConfirmed():
                actions += self._handle_confirmation(now_us, event)
            case Applied():
                self.position = event.entry.position
                if event.entry.machine == MACHINE:
                    self._follow_log(now_us)
            case Restored():
                self.position = event.position
                self._follow_log(now_us)
            case ProposalFinished():
                self._handle_proposal_result(now_us, event)
            case Tick():
                pass
        return actions + self._due_actions(now_us)

    # --- leadership ---

    def _handle_leadership(self, now_us: int, event: LeaderChanged) -> None:
        if event.is_self and event.ballot == self._ballot:
            return
        self._rounds.clear()
        self._ballot = event.ballot if event.is_self else None
        self._takeover_retry_us = now_us
        if event.is_self:
            self._restart_terms(now_us)

    def _restart_terms(self, now_us: int) -> None:
        """Treat every session as renewed now: an earlier leader may have granted renewals until now."""
        for session in self._managed.values():
            session.renewed_at_us = now_us
            session.end_proposed = False

    def _follow_log(self, now_us: int) -> None:
        """Manage the sessions that the log has open; the lease of a new one counts from now, or later."""
        self._managed = {
            opened.instance.name: self.report(opened.instance.name, opened.fencing_token)
            or ManagedSession(opened.instance, opened.fencing_token, now_us)
            for opened in self.sessions.active_sessions()
        }
        if self._ballot is not None and self.sessions.ballot > self._ballot:  # deposed before `LeaderChanged`
            self._ballot = None

    # --- renewals ---

    def _handle_renewals(self, now_us: int, requests: Sequence[RenewalRequest]) -> None:
        for request in requests:
            session = self.report(request.name, request.fencing_token)
            if session is None or session.instance.number != request.instance_number:
                continue
            session.applied_position = max(session.applied_position, request.applied_position)
            session.received_at_us = now_us
            session.clear_position = max(session.clear_position, request.clear_position)
            if request.number > session.granted_number and not session.end_proposed:
                self._rounds.add(request)

    def _handle_confirmation(self, now_us: int, event: LeadershipConfirmed) -> list[Action]:
        if event.ballot != self._ballot:
            return []
        confirmed = self._rounds.complete(event.token)
        if confirmed is None:
            return []
        grants = self._grant(now_us, confirmed.requests)
        expired = [
            session for session in self._managed.values() if self._end_due_us(session) <= confirmed.sent_us
        ]
        ends = [self._propose_end(now_us, session) for session in expired]
        return [SendGrants(grants), *ends] if grants else [*ends]

    def _grant(self, now_us: int, requests: Sequence[RenewalRequest]) -> tuple[RenewalGrant, ...]:
        grants: list[RenewalGrant] = []
        for request in requests:
            session = self.report(request.name, request.fencing_token)
            if session is None or session.end_proposed or request.number <= session.granted_number:
                continue
            session.renewed_at_us = now_us
            session.granted_number = request.number
            grant = RenewalGrant(request.name, request.instance_number, request.fencing_token, request.number)
            grants.append(grant)
        return tuple(grants)

    # --- ending expired sessions ---

    def _end_due_us(self, session: ManagedSession) -> int:
        """When to propose the end; one microsecond is added because clock readings are truncated."""
        if session.end_proposed:
            return session.end_retry_us
        return session.renewed_at_us + self.terms.expiry_us + 1

    def _propose_end(self, now_us: int, session: ManagedSession) -> Propose:
        assert self._ballot is not None
        session.end_proposed = True
        session.end_retry_us = now_us + self._retry_after_us
        body = encode(EndSession(session.instance, session.fencing_token, self._ballot))
        return Propose(MACHINE, self._end_id(session), body, self._proposal_timeout_us)

    def _handle_proposal_result(self, now_us: int, event: ProposalFinished) -> None:
        """Schedule the next attempt of a proposal.

        Without a result the proposal may still be chosen, so nothing is granted and the proposal is repeated.
        If it was chosen, its effect follows from the log.
        """
        retry_us = now_us + self.renewal_interval_us
        if event.id == f"keeping.{self._ballot}":
            self._takeover_retry_us = retry_us
        for session in self._managed.values():
            if event.id == self._end_id(session):
                session.end_retry_us = retry_us

    def _due_actions(self, now_us: int) -> list[Action]:
        """The due action: `BecomeManager`, or a round for waiting requests and expired sessions."""
        if now_us < self.wake_us:
            return []
        if self.manages:
            return [ConfirmLeadership(self._rounds.begin(now_us))]
        assert self._ballot is not None  # without a ballot `wake_us` is never reached
        self._takeover_retry_us = now_us + self._retry_after_us
        body = encode(BecomeManager(self._ballot))
        return [Propose(MACHINE, f"keeping.{self._ballot}", body, self._proposal_timeout_us)]

    def _end_id(self, session: ManagedSession) -> str:
        return f"over.{self._ballot}.{session.fencing_token}"

    @property
    def _proposal_timeout_us(self) -> int:
        return PROPOSAL_TIMEOUT_INTERVALS * self.renewal_interval_us

    @property
    def _retry_after_us(self) -> int:
        """Longer than the log takes to report a result, so it elapses only if the result is lost."""
        return self._proposal_timeout_us + self.renewal_interval_us
