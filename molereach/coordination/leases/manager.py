"""The leader's side of sessions: renewals given, and ends proposed. At every front door; acts while it leads.

Why an end is safe. A holder counts from when it asked. A renewal is given after a `Confirm` that was sent
after the ask came, so every ask that an earlier leader answers was made before this leader was elected; this
one counts from then, and from each time that it gave since, for the whole duration and the drift of both
clocks. What was proposed as ended is given nothing more by this leader, and a later leader gives nothing
before its own `Keeping` is in the log, behind which the end is void. A keeper that was stopped counts from
later, which is the safe side.

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
from molereach.coordination.leases.rounds import ConfirmationRounds
from molereach.coordination.leases.sessions import SessionRegistry

Event = LeaderChanged | RenewalsReceived | LeadershipConfirmed | Tick | Applied | Restored | ProposalFinished
Action = ConfirmLeadership | SendGrants | Propose


@dataclass(slots=True)
class ManagedSession:
    """One open session, as its keeper knows it. Times by the keeper's own clock."""

    incarnation: NodeInstance
    fencing_token: int
    renewed_at_us: int  # the last given, the entry applied here, or the election: whichever was last
    granted_number: int = 0  # of the last ask that was given
    applied: int = 0  # as last said; it only grows
    clear: int = 0  # the same
    received_at_us: int | None = None
    end_proposed: bool = False  # proposed as ended by this leader: nothing more is given
    end_retry_us: int = 0  # when it is proposed again


class LeaseManager:
    """Decides when a session is renewed, and when it is over for all."""

    def __init__(
        self, sessions: SessionRegistry, terms: SessionTerms, beat_us: int = RENEWAL_INTERVAL_US
    ) -> None:
        self.sessions, self.terms, self.renewal_interval_us = sessions, terms, beat_us
        self.position = 0  # of the log, applied here
        self._managed: dict[str, ManagedSession] = {}
        self._ballot: int | None = None  # under which it leads
        self._takeover_retry_us = 0  # when its `Keeping` is proposed again
        self._rounds = ConfirmationRounds()

    # --- what is asked of it ---

    def report(self, name: str, fence: int) -> ManagedSession | None:
        """What is known of an open session."""
        kept = self._managed.get(name)
        return kept if kept and kept.fencing_token == fence else None

    @property
    def manages(self) -> bool:
        """Whether it leads, as far as it knows, and ends by earlier leaders are void."""
        return self.sessions.ballot == self._ballot

    @property
    def wake_us(self) -> int:
        if self._ballot is None:
            return NEVER_US
        if not self.manages:
            return self._takeover_retry_us
        first = min((self._end_due_us(kept) for kept in self._managed.values()), default=NEVER_US)
        if self._rounds.has_waiting:
            first = 0
        last_us = self._rounds.last_sent_us
        return first if last_us is None else max(first, last_us + self.renewal_interval_us)

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        out: list[Action] = []
        match event:
            case LeaderChanged():
                self._handle_leadership(now_us, event)
            case RenewalsReceived():
                self._handle_renewals(now_us, event.requests)
            case LeadershipConfirmed():
                out += self._handle_confirmation(now_us, event)
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
        return out + self._due_actions(now_us)

    # --- who leads ---

    def _handle_leadership(self, now_us: int, event: LeaderChanged) -> None:
        if event.is_self and event.ballot == self._ballot:
            return
        self._rounds.clear()
        self._ballot, self._takeover_retry_us = (event.ballot if event.is_self else None), now_us
        if event.is_self:
            self._restart_terms(now_us)

    def _restart_terms(self, now_us: int) -> None:
        """Take all sessions as given now: an earlier leader may have given until a moment ago."""
        for kept in self._managed.values():
            kept.renewed_at_us, kept.end_proposed = now_us, False

    def _follow_log(self, now_us: int) -> None:
        """Keep to what the log says is open; a session opened counts from here, or anything later."""
        kept = {
            opened.incarnation.name: self.report(opened.incarnation.name, opened.fencing_token)
            or ManagedSession(opened.incarnation, opened.fencing_token, now_us)
            for opened in self.sessions.active_sessions()
        }
        self._managed = kept
        if self._ballot is not None and self.sessions.ballot > self._ballot:  # deposed, and not told yet
            self._ballot = None

    # --- renewals ---

    def _handle_renewals(self, now_us: int, asks: Sequence[RenewalRequest]) -> None:
        for ask in asks:
            kept = self.report(ask.name, ask.fencing_token)
            if kept is None or kept.incarnation.number != ask.instance_number:
                continue
            kept.applied, kept.received_at_us = max(kept.applied, ask.applied_position), now_us
            kept.clear = max(kept.clear, ask.clear_position)
            if ask.number > kept.granted_number and not kept.end_proposed:
                self._rounds.add(ask)

    def _handle_confirmation(self, now_us: int, event: LeadershipConfirmed) -> list[Action]:
        if event.ballot != self._ballot:
            return []
        passed = self._rounds.complete(event.token)
        if passed is None:
            return []
        grants = self._grant(now_us, passed.requests)
        due = [kept for kept in self._managed.values() if self._end_due_us(kept) <= passed.sent_us]
        ends = [self._propose_end(now_us, kept) for kept in due]
        return [SendGrants(grants), *ends] if grants else [*ends]

    def _grant(self, now_us: int, asks: Sequence[RenewalRequest]) -> tuple[RenewalGrant, ...]:
        grants: list[RenewalGrant] = []
        for ask in asks:
            kept = self.report(ask.name, ask.fencing_token)
            if kept is None or kept.end_proposed or ask.number <= kept.granted_number:
                continue
            kept.renewed_at_us, kept.granted_number = now_us, ask.number
            grants.append(RenewalGrant(ask.name, ask.instance_number, ask.fencing_token, ask.number))
        return tuple(grants)

    # --- ends ---

    def _end_due_us(self, kept: ManagedSession) -> int:
        """From when an end is to be proposed, by a clock whose readings are cut to whole microseconds."""
        return kept.end_retry_us if kept.end_proposed else kept.renewed_at_us + self.terms.expiry_us + 1

    def _propose_end(self, now_us: int, kept: ManagedSession) -> Propose:
        assert self._ballot is not None
        kept.end_proposed, kept.end_retry_us = (
            True,
            now_us + (PROPOSAL_TIMEOUT_INTERVALS + 1) * self.renewal_interval_us,
        )
        body = encode(EndSession(kept.incarnation, kept.fencing_token, self._ballot))
        return Propose(
            MACHINE,
            f"over.{self._ballot}.{kept.fencing_token}",
            body,
            PROPOSAL_TIMEOUT_INTERVALS * self.renewal_interval_us,
        )

    def _handle_proposal_result(self, now_us: int, event: ProposalFinished) -> None:
        """No word is no answer: it may be settled yet, so nothing is given, and it is proposed again. Where
        it was settled, the log says what came of it."""
        if event.id == f"keeping.{self._ballot}":
            self._takeover_retry_us = now_us + self.renewal_interval_us
        for kept in self._managed.values():
            if event.id == f"over.{self._ballot}.{kept.fencing_token}":
                kept.end_retry_us = now_us + self.renewal_interval_us

    def _due_actions(self, now_us: int) -> list[Action]:
        """What the time calls for: its `Keeping`, or a round for the asks and ends that wait."""
        if now_us < self.wake_us:
            return []
        if self.manages:
            return [ConfirmLeadership(self._rounds.begin(now_us))]
        assert self._ballot is not None  # as it never wakes without
        self._takeover_retry_us = now_us + (PROPOSAL_TIMEOUT_INTERVALS + 1) * self.renewal_interval_us
        body = encode(BecomeManager(self._ballot))
        return [
            Propose(
                MACHINE,
                f"keeping.{self._ballot}",
                body,
                PROPOSAL_TIMEOUT_INTERVALS * self.renewal_interval_us,
            )
        ]
