"""Each core with one of its safeguards taken out, and what it is taken for."""

from collections.abc import Sequence

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.accounts import Account
from molereach.coordination.leases.asks import Asks
from molereach.coordination.leases.bodies import Ended, decode, encode
from molereach.coordination.leases.holder import Holder
from molereach.coordination.leases.keeper import Keeper
from molereach.coordination.leases.sessions import Opened, Past, Sessions
from molereach.coordination.leases.words import Asked, Given, Granted, RenewalGrant, RenewalRequest
from tests.coordination.leases.world import TERMS, Cores


class CountedFromTheAnswer(Holder):
    """The lease runs from when the grant came."""

    def _granted(self, now_us: int, event: Granted) -> None:
        before = self._until_us
        super()._granted(now_us, event)
        if self._until_us > before:
            self._until_us = now_us + self.terms.holder_duration_us


class OpenedFromTheAnswer(Holder):
    """A session counts from when its opening was seen here."""

    def _open(self, now_us: int, fence: int, mine: int) -> None:
        super()._open(now_us, fence, mine)
        self._until_us = now_us + self.terms.holder_duration_us


class StillHeldWhileClosing(Holder):
    """A session counts as held until its close is settled."""

    def _leave(self, now_us: int) -> None:
        until_us = self._until_us
        super()._leave(now_us)
        self._until_us = until_us


class _AnyAsk(Asks):
    def granted(self, grant: RenewalGrant) -> tuple[int, RenewalRequest] | None:
        if (grant.name, grant.instance_number) != (self._life.name, self._life.number) or not self._open:
            return None
        return next(reversed(self._open.values()))


class OldGrantForANewAsk(Holder):
    """Any grant renews from the last ask."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._asks = _AnyAsk(self.life)


class _NumbersAgain(Asks):
    def granted(self, grant: RenewalGrant) -> tuple[int, RenewalRequest] | None:
        found = self._open.get(grant.number)
        return found if grant.name == self._life.name else None

    def forget(self) -> None:
        super().forget()
        self._number = 0


class NumbersUsedAgain(Holder):
    """Numbers of asks begin anew with each start and each session, and say alone what a grant is for."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._asks = _NumbersAgain(self.life)


class GivenUnconfirmed(Keeper):
    """Renewals are given at once, by whoever believes to lead."""

    def _asked(self, now_us: int, asks: Sequence[RenewalRequest]) -> None:
        super()._asked(now_us, asks)
        self.unconfirmed = self._give(now_us, asks) if self.keeps else ()

    def handle(self, now_us: int, event: object) -> Sequence[object]:  # type: ignore[override]
        out = list(super().handle(now_us, event))  # type: ignore[arg-type]
        return [Given(self.unconfirmed), *out] if isinstance(event, Asked) else out


class OldLeadersTimes(Keeper):
    """A new leader goes by the times at which it gave, or heard of a session, itself."""

    def _elected(self, now_us: int) -> None:
        for kept in self._kept.values():
            kept.ending = False


class GivenAfterItsEnd(Keeper):
    """What was proposed as ended is renewed all the same."""

    def _asked(self, now_us: int, asks: Sequence[RenewalRequest]) -> None:
        self._revive()
        super()._asked(now_us, asks)

    def _give(self, now_us: int, asks: Sequence[RenewalRequest]) -> tuple[RenewalGrant, ...]:
        self._revive()
        return super()._give(now_us, asks)

    def _revive(self) -> None:
        for kept in self._kept.values():
            kept.ending = False


class AWordIsEnough(Account):
    """Whoever was heard of since the entry counts as having it."""

    def _accounted(self, session: Opened | Past) -> NodeClearance | None:
        said = self._sayings.said(session.life.name, session.fence)
        if said is not None and said.heard_us is not None and said.heard_us >= self.since_us:
            return NodeClearance(session.life, ClearanceEvidence.REPORTED, self.position)
        return super()._accounted(session)


class EndsOfAnyLeader(Sessions):
    """An end is not bound to who keeps the sessions."""

    def apply(self, entry: Entry) -> Outcome:
        body = decode(entry.body)
        if isinstance(body, Ended):
            entry = Entry(
                entry.position,
                entry.machine,
                entry.id,
                entry.proposer,
                entry.at_ms,
                encode(Ended(body.life, body.fence, self.ballot)),
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
    "grant without confirm": Cores(keeper=GivenUnconfirmed),
    "new leader counts from its old times": Cores(keeper=OldLeadersTimes),
    "a renewal after the end was proposed": Cores(keeper=GivenAfterItsEnd),
    "ends of any leader": Cores(sessions=EndsOfAnyLeader),
    "a word is enough": Cores(account=AWordIsEnough),
}
QUICK_MUTANTS: dict[str, Cores] = {  # found where words take next to no time
    "drift left out": Cores(terms=NoDrift(TERMS.duration_us, TERMS.drift)),
}
