"""Each core with one of its safeguards taken out, and what it is taken for."""

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
from tests.coordination.leases.world import TERMS, Cores


class CountedFromTheAnswer(LeaseHolder):
    """The lease runs from when the grant came."""

    def _apply_grants(self, now_us: int, event: GrantsReceived) -> None:
        before = self._expires_at_us
        super()._apply_grants(now_us, event)
        if self._expires_at_us > before:
            self._expires_at_us = now_us + self.terms.holder_duration_us


class OpenedFromTheAnswer(LeaseHolder):
    """A session counts from when its opening was seen here."""

    def _start_session(self, now_us: int, fencing_token: int, mine: int) -> None:
        super()._start_session(now_us, fencing_token, mine)
        self._expires_at_us = now_us + self.terms.holder_duration_us


class StillHeldWhileClosing(LeaseHolder):
    """A session counts as held until its close is settled."""

    def _release(self, now_us: int) -> None:
        until_us = self._expires_at_us
        super()._release(now_us)
        self._expires_at_us = until_us


class _AnyAsk(PendingRenewals):
    def match_grant(self, grant: RenewalGrant) -> SentRenewal | None:
        if (grant.name, grant.instance_number) != (
            self._instance.name,
            self._instance.number,
        ) or not self._pending:
            return None
        return next(reversed(self._pending.values()))


class OldGrantForANewAsk(LeaseHolder):
    """Any grant renews from the last ask."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._renewals = _AnyAsk(self.instance)


class _NumbersAgain(PendingRenewals):
    def match_grant(self, grant: RenewalGrant) -> SentRenewal | None:
        found = self._pending.get(grant.number)
        return found if grant.name == self._instance.name else None

    def clear(self) -> None:
        super().clear()
        self._number = 0


class NumbersUsedAgain(LeaseHolder):
    """Numbers of asks begin anew with each start and each session, and say alone what a grant is for."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._renewals = _NumbersAgain(self.instance)


class GivenUnconfirmed(LeaseManager):
    """Renewals are given at once, by whoever believes to lead."""

    def _handle_renewals(self, now_us: int, requests: Sequence[RenewalRequest]) -> None:
        super()._handle_renewals(now_us, requests)
        self.unconfirmed = self._grant(now_us, requests) if self.manages else ()

    def handle(self, now_us: int, event: object) -> Sequence[object]:  # type: ignore[override]
        out = list(super().handle(now_us, event))  # type: ignore[arg-type]
        return [SendGrants(self.unconfirmed), *out] if isinstance(event, RenewalsReceived) else out


class OldLeadersTimes(LeaseManager):
    """A new leader goes by the times at which it gave, or heard of a session, itself."""

    def _restart_terms(self, now_us: int) -> None:
        for kept in self._managed.values():
            kept.end_proposed = False


class GivenAfterItsEnd(LeaseManager):
    """What was proposed as ended is renewed all the same."""

    def _handle_renewals(self, now_us: int, requests: Sequence[RenewalRequest]) -> None:
        self._revive()
        super()._handle_renewals(now_us, requests)

    def _grant(self, now_us: int, requests: Sequence[RenewalRequest]) -> tuple[RenewalGrant, ...]:
        self._revive()
        return super()._grant(now_us, requests)

    def _revive(self) -> None:
        for kept in self._managed.values():
            kept.end_proposed = False


class AWordIsEnough(AcknowledgementTracker):
    """Whoever was heard of since the entry counts as having it."""

    def _acknowledgement(self, session: ActiveSession | EndedSession) -> NodeClearance | None:
        said = self._reports.report(session.instance.name, session.fencing_token)
        if said is not None and said.received_at_us is not None and said.received_at_us >= self.since_us:
            return NodeClearance(session.instance, ClearanceEvidence.REPORTED, self.position)
        return super()._acknowledgement(session)


class EndsOfAnyLeader(SessionRegistry):
    """An end is not bound to who keeps the sessions."""

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
    """The council takes its own clock for true."""

    @property
    def expiry_us(self) -> int:
        return self.duration_us


MUTANTS: dict[str, Cores] = {
    "lease counted from the answer": Cores(holder=CountedFromTheAnswer),
    "opening counted from the answer": Cores(holder=OpenedFromTheAnswer),
    "close that still holds": Cores(holder=StillHeldWhileClosing),
    "an old grant taken for a new ask": Cores(holder=OldGrantForANewAsk),
    "grant without confirm": Cores(manager=GivenUnconfirmed),
    "new leader counts from its old times": Cores(manager=OldLeadersTimes),
    "a renewal after the end was proposed": Cores(manager=GivenAfterItsEnd),
    "ends of any leader": Cores(sessions=EndsOfAnyLeader),
    "a word is enough": Cores(account=AWordIsEnough),
}
QUICK_MUTANTS: dict[str, Cores] = {  # found where words take next to no time
    "drift left out": Cores(terms=NoDrift(TERMS.duration_us, TERMS.drift)),
}
