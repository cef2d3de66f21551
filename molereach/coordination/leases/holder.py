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
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.asks import Asks
from molereach.coordination.leases.bodies import Body, Close, Open
from molereach.coordination.leases.proposal import WITHIN_BEATS, Proposal
from molereach.coordination.leases.sessions import Sessions
from molereach.coordination.leases.words import BEAT_US, Granted, Held, Leave, Lost, Phase, RenewalRequest

MOST_BACKOFF_BEATS = 10

Event = Tick | Applied | Restored | ProposalFinished | Granted | LeaderChanged | Leave
Action = Propose | RenewalRequest | Held | Lost


class Holder:
    """Implements `Session`. `Applied` is handed in after all that stands on the log has acted on it."""

    def __init__(
        self,
        life: NodeInstance,
        sessions: Sessions,
        terms: SessionTerms,
        draw: Callable[[], float],
        beat_us: int = BEAT_US,
    ) -> None:
        self.life, self.sessions, self.terms, self.draw, self.beat_us = life, sessions, terms, draw, beat_us
        self.phase = Phase.ABSENT
        self.position = 0  # of the log, applied here
        self._fence = 0  # of the session that is open, held or not
        self._until_us = 0  # up to then it is held
        self._held = 0  # the fence of the session that is held, as last told; 0 for none
        self._why = ""
        self._told = 0
        self._asks = Asks(life)
        self._misses = 0  # tries without an answer, while nothing is held
        self._next_us = 0  # when it asks or proposes next
        # Up to where nothing that entries forbid is under way here: told by whoever stands on the log.
        self.clear: Callable[[int], int] = lambda position: position
        self._opening: Proposal | None = None
        self._closing: Proposal | None = None

    # --- Session ---

    def holds(self, now_us: int) -> bool:
        return now_us < self._until_us  # 0 in every phase but OPEN

    @property
    def fencing_token(self) -> int:
        """As of the last event: `holds` is to be asked first."""
        return self._held

    @property
    def applied_position(self) -> int:
        """What the last ask told that was granted."""
        return self._told

    # --- Core ---

    @property
    def wake_us(self) -> int:
        return min(self._next_us, self._until_us) if self._held else self._next_us

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        match event:
            case Granted() if self.phase is Phase.OPEN:
                self._granted(now_us, event)
            case Applied():
                self.position = event.entry.position
                mine = self._opening is not None and event.entry.id == self._opening.id
                self._follow(now_us, event.entry.position if mine else 0)
            case Restored():
                self.position = event.position
                self._follow(now_us, 0)
            case ProposalFinished():
                self._proposed(now_us, event)
            case LeaderChanged() if event.leader is not None:  # one that may answer; not all ask it at once
                self._misses = 0
                self._next_us = min(self._next_us, now_us + int(self.draw() * self.beat_us))
            case Leave():
                self._leave(now_us)
            case _:
                pass
        told = self._tell(now_us)
        return told + self._due(now_us) if now_us >= self._next_us else told

    def _tell(self, now_us: int) -> list[Action]:
        """Say when it begins or ceases to be held."""
        held, before = (self._fence if self.holds(now_us) else 0), self._held
        self._held = held
        why, self._why = self._why or "not renewed in time", ""
        if held == before:
            return []
        lost: list[Action] = [Lost(before, why)] if before else []
        return [*lost, Held(held)] if held else lost

    # --- what the log says ---

    def _follow(self, now_us: int, mine: int) -> None:
        """Keep to what was applied here; `mine` is the position at which the own proposal was settled."""
        opened, highest = self.sessions.open(self.life.name), self.sessions.life(self.life.name)
        if highest is not None and highest > self.life:
            self._over("a later life has the name", Phase.SUPERSEDED)
        elif opened is not None and opened.life == self.life:
            if opened.fence != self._fence and self.position >= opened.fence:
                self._open(now_us, opened.fence, mine)
        elif self._fence:
            self._over("ended in the log", Phase.LEFT if self.phase is Phase.LEAVING else Phase.ABSENT)
            self._next_us = now_us

    def _open(self, now_us: int, fence: int, mine: int) -> None:
        # Where another proposal opened it than the one under way, only a grant says from when it counts.
        made_us = self._opening.first_us if self._opening and fence == mine else None
        leaves = self.phase in (Phase.LEAVING, Phase.LEFT)  # an opening that was settled late is closed again
        self._over("ended in the log", Phase.LEAVING if leaves else Phase.OPEN)
        self._until_us = 0 if made_us is None or leaves else made_us + self.terms.holder_duration_us
        self._fence, self._next_us, self._misses = fence, now_us, 0

    def _over(self, why: str, phase: Phase) -> None:
        self._fence, self._until_us, self._why, self.phase = 0, 0, why, phase
        self._opening = self._closing = None
        self._asks.forget()

    def _proposed(self, now_us: int, event: ProposalFinished) -> None:
        if self._closing and event.id == self._closing.id:
            self._next_us = now_us + self.beat_us
        if self._opening is None or event.id != self._opening.id:
            return
        self._next_us = max(now_us, self._opening.tried_us + self._backoff_us())
        # Settled, and applied here, and it opened nothing: refused by a rule, or over again already.
        settled = event.status is ProposalStatus.APPLIED and self.position >= event.position
        if settled or event.status is ProposalStatus.REJECTED:
            self._opening = None
        if self.phase is Phase.LEAVING:
            self.phase = Phase.LEFT  # if it is settled yet, it is held by nobody

    # --- renewals, and the end in order ---

    def _granted(self, now_us: int, event: Granted) -> None:
        for grant in event.grants:
            if found := self._asks.granted(grant):
                made_us, ask = found
                self._until_us = max(self._until_us, made_us + self.terms.holder_duration_us)
                self._told, self._misses = ask.applied_position, 0
                self._next_us = min(self._next_us, now_us + self.beat_us)

    def _leave(self, now_us: int) -> None:
        if self.phase is Phase.OPEN or (self.phase is Phase.ABSENT and self._opening):
            self.phase, self._until_us, self._next_us, self._why = Phase.LEAVING, 0, now_us, "leaves"
        elif self.phase is Phase.ABSENT:
            self.phase = Phase.LEFT

    # --- time ---

    def _backoff_us(self) -> int:
        return self.beat_us * min(MOST_BACKOFF_BEATS, 1 << min(self._misses, MOST_BACKOFF_BEATS))

    def _due(self, now_us: int) -> list[Action]:
        """RenewalRequest, or propose, and say when next."""
        match self.phase:
            case Phase.OPEN:
                self._next_us = now_us + (self.beat_us if self._held else self._backoff_us())
                self._misses = 0 if self._held else self._misses + 1
                return [self._asks.make(now_us, self._fence, self.position, self.clear(self.position))]
            case Phase.ABSENT:
                self._misses += 1
                self._opening = self._opening or self._draw(now_us, "open", Open(self.life))
                return [self._propose(now_us, self._opening)]
            case Phase.LEAVING if self._fence:
                self._closing = self._closing or self._draw(now_us, "close", Close(self.life, self._fence))
                return [self._propose(now_us, self._closing)]
            case _:
                self._next_us = NEVER_US
                return []

    def _draw(self, now_us: int, what: str, body: Body) -> Proposal:
        return Proposal(f"{what}.{self.life.number:x}.{int(self.draw() * (1 << 53)):x}", body, now_us)

    def _propose(self, now_us: int, proposal: Proposal) -> Propose:
        # The log's word on it comes before that, unless it is lost.
        self._next_us = now_us + (WITHIN_BEATS + 1) * self.beat_us
        return proposal.tell(now_us, self.beat_us)
