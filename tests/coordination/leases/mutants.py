"""Mutants of the lease components: each lacks one safeguard, which the random histories must detect."""

from collections.abc import Sequence

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest, SessionTerms
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker
from molereach.coordination.leases.bodies import EndSession, decode, encode
from molereach.coordination.leases.holder import LeaseHolder
from molereach.coordination.leases.manager import LeaseManager
from molereach.coordination.leases.messages import GrantsReceived, RenewalsReceived, SendGrants
from molereach.coordination.leases.renewals import PendingRenewals, SentRenewal
from molereach.coordination.leases.sessions import ActiveSession, EndedSession, SessionRegistry
from tests.coordination.leases.simulation import TERMS, Components


class LeaseCountedFromGrant(LeaseHolder):
    """Counts the lease from the arrival of the grant."""

    def _apply_grants(self, now_us: int, event: GrantsReceived) -> None:
        previous_us = self._expires_at_us
        super()._apply_grants(now_us, event)
        if self._expires_at_us > previous_us:
            self._expires_at_us = now_us + self.terms.holder_duration_us


class LeaseCountedFromOpening(LeaseHolder):
    """Counts the lease from when the opening entry was applied here."""

    def _start_session(self, now_us: int, fencing_token: int, opening_position: int) -> None:
        super()._start_session(now_us, fencing_token, opening_position)
        self._expires_at_us = now_us + self.terms.holder_duration_us


class HeldWhileClosing(LeaseHolder):
    """Keeps the session valid until its `CloseSession` is chosen."""

    def _release(self, now_us: int) -> None:
        expires_at_us = self._expires_at_us
        super()._release(now_us)
        self._expires_at_us = expires_at_us


class _AnyGrantMatches(PendingRenewals):
    def match_grant(self, grant: RenewalGrant) -> SentRenewal | None:
        if (grant.name, grant.instance_number) != (
            self._instance.name,
            self._instance.number,
        ) or not self._pending:
            return None
        return next(reversed(self._pending.values()))


class AnyGrantRenews(LeaseHolder):
    """Any grant renews the session from the time of the newest request."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._renewals = _AnyGrantMatches(self.instance)


class _MatchedByNumber(PendingRenewals):
    def match_grant(self, grant: RenewalGrant) -> SentRenewal | None:
        pending = self._pending.get(grant.number)
        return pending if grant.name == self._instance.name else None

    def clear(self) -> None:
        super().clear()
        self._number = 0


class GrantsMatchedByNumber(LeaseHolder):
    """Request numbers restart with each session; a grant matches by name and number, for any session."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._renewals = _MatchedByNumber(self.instance)


class GrantsUnconfirmed(LeaseManager):
    """Grants renewals at once if it believes that it leads, without a confirmation."""

    def _handle_renewals(self, now_us: int, requests: Sequence[RenewalRequest]) -> None:
        super()._handle_renewals(now_us, requests)
        self.unconfirmed_grants = self._grant(now_us, requests) if self.manages else ()

    def handle(self, now_us: int, event: object) -> Sequence[object]:  # type: ignore[override]
        actions = list(super().handle(now_us, event))  # type: ignore[arg-type]
        return (
            [SendGrants(self.unconfirmed_grants), *actions]
            if isinstance(event, RenewalsReceived)
            else actions
        )


class RenewalTimesKept(LeaseManager):
    """A new leader keeps its own old renewal times instead of restarting them at its election."""

    def _restart_terms(self, now_us: int) -> None:
        for session in self._managed.values():
            session.end_proposed = False


class GrantsAfterEndProposed(LeaseManager):
    """Renews a session whose end it has already proposed."""

    def _handle_renewals(self, now_us: int, requests: Sequence[RenewalRequest]) -> None:
        self._forget_proposed_ends()
        super()._handle_renewals(now_us, requests)

    def _grant(self, now_us: int, requests: Sequence[RenewalRequest]) -> tuple[RenewalGrant, ...]:
        self._forget_proposed_ends()
        return super()._grant(now_us, requests)

    def _forget_proposed_ends(self) -> None:
        for session in self._managed.values():
            session.end_proposed = False


class AnyReportAcknowledges(AcknowledgementTracker):
    """Any report since the entry counts as an acknowledgement, whatever position it names."""

    def _acknowledgement(self, session: ActiveSession | EndedSession) -> NodeClearance | None:
        report = self._reports.report(session.instance.name, session.fencing_token)
        if (
            report is not None
            and report.received_at_us is not None
            and report.received_at_us >= self.since_us
        ):
            return NodeClearance(session.instance, ClearanceEvidence.REPORTED, self.position)
        return super()._acknowledgement(session)


class EndsUnderAnyBallot(SessionRegistry):
    """Accepts `EndSession` under any ballot."""

    def apply(self, entry: Entry) -> Outcome:
        body = decode(entry.body)
        if isinstance(body, EndSession):
            entry = Entry(
                entry.position,
                entry.machine,
                entry.id,
                entry.proposer,
                entry.at_ms,
                encode(EndSession(body.instance, body.fencing_token, self.ballot)),
            )
        return super().apply(entry)


class NoDrift(SessionTerms):
    """The lease manager does not allow for clock drift."""

    @property
    def expiry_us(self) -> int:
        return self.duration_us


MUTANTS: dict[str, Components] = {
    "lease counted from the grant": Components(holder=LeaseCountedFromGrant),
    "lease counted from the opening entry": Components(holder=LeaseCountedFromOpening),
    "session held while closing": Components(holder=HeldWhileClosing),
    "any grant matches the newest request": Components(holder=AnyGrantRenews),
    "grant without confirmation": Components(manager=GrantsUnconfirmed),
    "new leader keeps old renewal times": Components(manager=RenewalTimesKept),
    "renewal after the end was proposed": Components(manager=GrantsAfterEndProposed),
    "ends under any ballot": Components(sessions=EndsUnderAnyBallot),
    "any report acknowledges": Components(tracker=AnyReportAcknowledges),
}
FAST_MUTANTS: dict[str, Components] = {  # detected only with message delays under 1 ms
    "clock drift ignored": Components(terms=NoDrift(TERMS.duration_us, TERMS.drift)),
}
