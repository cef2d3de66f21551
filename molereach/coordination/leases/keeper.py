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
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.bodies import MACHINE, Ended, Keeping, encode
from molereach.coordination.leases.proposal import WITHIN_BEATS
from molereach.coordination.leases.rounds import Rounds
from molereach.coordination.leases.sessions import Sessions
from molereach.coordination.leases.words import BEAT_US, Asked, Given, RenewalGrant, RenewalRequest

Event = LeaderChanged | Asked | LeadershipConfirmed | Tick | Applied | Restored | ProposalFinished
Action = ConfirmLeadership | Given | Propose


@dataclass(slots=True)
class Kept:
    """One open session, as its keeper knows it. Times by the keeper's own clock."""

    life: NodeInstance
    fence: int
    since_us: int  # the last given, the entry applied here, or the election: whichever was last
    number: int = 0  # of the last ask that was given
    applied: int = 0  # as last said; it only grows
    clear: int = 0  # the same
    heard_us: int | None = None
    ending: bool = False  # proposed as ended by this leader: nothing more is given
    again_us: int = 0  # when it is proposed again


class Keeper:
    """Decides when a session is renewed, and when it is over for all."""

    def __init__(self, sessions: Sessions, terms: SessionTerms, beat_us: int = BEAT_US) -> None:
        self.sessions, self.terms, self.beat_us = sessions, terms, beat_us
        self.position = 0  # of the log, applied here
        self._kept: dict[str, Kept] = {}
        self._ballot: int | None = None  # under which it leads
        self._keeping_us = 0  # when its `Keeping` is proposed again
        self._rounds = Rounds()

    # --- what is asked of it ---

    def said(self, name: str, fence: int) -> Kept | None:
        """What is known of an open session."""
        kept = self._kept.get(name)
        return kept if kept and kept.fence == fence else None

    @property
    def keeps(self) -> bool:
        """Whether it leads, as far as it knows, and ends by earlier leaders are void."""
        return self.sessions.ballot == self._ballot

    @property
    def wake_us(self) -> int:
        if self._ballot is None:
            return NEVER_US
        if not self.keeps:
            return self._keeping_us
        first = min((self._due_us(kept) for kept in self._kept.values()), default=NEVER_US)
        if self._rounds.waiting:
            first = 0
        last_us = self._rounds.last_us
        return first if last_us is None else max(first, last_us + self.beat_us)

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        out: list[Action] = []
        match event:
            case LeaderChanged():
                self._leads(now_us, event)
            case Asked():
                self._asked(now_us, event.asks)
            case LeadershipConfirmed():
                out += self._confirmed(now_us, event)
            case Applied():
                self.position = event.entry.position
                if event.entry.machine == MACHINE:
                    self._follow(now_us)
            case Restored():
                self.position = event.position
                self._follow(now_us)
            case ProposalFinished():
                self._proposed(now_us, event)
            case Tick():
                pass
        return out + self._due(now_us)

    # --- who leads ---

    def _leads(self, now_us: int, event: LeaderChanged) -> None:
        if event.is_self and event.ballot == self._ballot:
            return
        self._rounds.clear()
        self._ballot, self._keeping_us = (event.ballot if event.is_self else None), now_us
        if event.is_self:
            self._elected(now_us)

    def _elected(self, now_us: int) -> None:
        """Take all sessions as given now: an earlier leader may have given until a moment ago."""
        for kept in self._kept.values():
            kept.since_us, kept.ending = now_us, False

    def _follow(self, now_us: int) -> None:
        """Keep to what the log says is open; a session opened counts from here, or anything later."""
        kept = {
            opened.life.name: self.said(opened.life.name, opened.fence)
            or Kept(opened.life, opened.fence, now_us)
            for opened in self.sessions.all_open()
        }
        self._kept = kept
        if self._ballot is not None and self.sessions.ballot > self._ballot:  # deposed, and not told yet
            self._ballot = None

    # --- renewals ---

    def _asked(self, now_us: int, asks: Sequence[RenewalRequest]) -> None:
        for ask in asks:
            kept = self.said(ask.name, ask.fencing_token)
            if kept is None or kept.life.number != ask.instance_number:
                continue
            kept.applied, kept.heard_us = max(kept.applied, ask.applied_position), now_us
            kept.clear = max(kept.clear, ask.clear_position)
            if ask.number > kept.number and not kept.ending:
                self._rounds.ask(ask)

    def _confirmed(self, now_us: int, event: LeadershipConfirmed) -> list[Action]:
        if event.ballot != self._ballot:
            return []
        passed = self._rounds.confirmed(event.token)
        if passed is None:
            return []
        grants = self._give(now_us, passed.asks)
        due = [kept for kept in self._kept.values() if self._due_us(kept) <= passed.sent_us]
        ends = [self._end(now_us, kept) for kept in due]
        return [Given(grants), *ends] if grants else [*ends]

    def _give(self, now_us: int, asks: Sequence[RenewalRequest]) -> tuple[RenewalGrant, ...]:
        grants: list[RenewalGrant] = []
        for ask in asks:
            kept = self.said(ask.name, ask.fencing_token)
            if kept is None or kept.ending or ask.number <= kept.number:
                continue
            kept.since_us, kept.number = now_us, ask.number
            grants.append(RenewalGrant(ask.name, ask.instance_number, ask.fencing_token, ask.number))
        return tuple(grants)

    # --- ends ---

    def _due_us(self, kept: Kept) -> int:
        """From when an end is to be proposed, by a clock whose readings are cut to whole microseconds."""
        return kept.again_us if kept.ending else kept.since_us + self.terms.expiry_us + 1

    def _end(self, now_us: int, kept: Kept) -> Propose:
        assert self._ballot is not None
        kept.ending, kept.again_us = True, now_us + (WITHIN_BEATS + 1) * self.beat_us
        body = encode(Ended(kept.life, kept.fence, self._ballot))
        return Propose(MACHINE, f"over.{self._ballot}.{kept.fence}", body, WITHIN_BEATS * self.beat_us)

    def _proposed(self, now_us: int, event: ProposalFinished) -> None:
        """No word is no answer: it may be settled yet, so nothing is given, and it is proposed again. Where
        it was settled, the log says what came of it."""
        if event.id == f"keeping.{self._ballot}":
            self._keeping_us = now_us + self.beat_us
        for kept in self._kept.values():
            if event.id == f"over.{self._ballot}.{kept.fence}":
                kept.again_us = now_us + self.beat_us

    def _due(self, now_us: int) -> list[Action]:
        """What the time calls for: its `Keeping`, or a round for the asks and ends that wait."""
        if now_us < self.wake_us:
            return []
        if self.keeps:
            return [ConfirmLeadership(self._rounds.begin(now_us))]
        assert self._ballot is not None  # as it never wakes without
        self._keeping_us = now_us + (WITHIN_BEATS + 1) * self.beat_us
        body = encode(Keeping(self._ballot))
        return [Propose(MACHINE, f"keeping.{self._ballot}", body, WITHIN_BEATS * self.beat_us)]
