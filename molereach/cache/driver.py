"""The leader's part: once the proof for a purge is complete, it proposes `Done`.

It may be wrong, late, doubled or dead at any step: the machine takes from it only which open sessions have
said `clear`, and that stays true for good. Another leader begins anew from the machine and from what sessions
say to it.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from molereach.cache.purge.bodies import MACHINE, Ask, Done, decode, encode, ended, standing
from molereach.cache.purge.machine import MOST_DONE_AT_ONCE, Purges
from molereach.cache.purge.records import Asked
from molereach.coordination.interface.clearance import NodeClearance
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import Applied, LeaderChanged, ProposalFinished, Propose, Restored
from molereach.coordination.leases.acknowledgements import MissingAcknowledgement

LOOK_US = SECOND_US // 10  # between two looks at whether a proof is complete
WITHIN_US = 2 * SECOND_US  # after that the log says UNKNOWN
AGAIN_US = 3 * SECOND_US  # for so long one proposal is waited for, whatever was heard of it


class Proving(Protocol):
    """An account of an entry, over what sessions have said `clear` of: never what they merely applied."""

    def proof(self) -> tuple[NodeClearance, ...] | None: ...
    def pending(self) -> tuple[MissingAcknowledgement, ...]: ...


Event = LeaderChanged | Applied | Restored | ProposalFinished | Tick


class Driver:
    """At each front door; acts where it leads. `account` takes a position, and since when that counts."""

    def __init__(self, purges: Purges, account: Callable[[int, int], Proving]) -> None:
        self.purges, self.account = purges, account
        self._ballot: int | None = None  # while it leads
        self._led_us = 0
        self._since: dict[int, int] = {}  # by position of a pending purge: when it was applied here
        self._number = 0
        self._out = ""  # the id of the proposal under way
        self._next_us = 0

    @property
    def wake_us(self) -> int:
        return self._next_us if self._ballot is not None and self.purges.oldest(1) else NEVER_US

    def missing(self, asked: Asked) -> tuple[MissingAcknowledgement, ...] | None:
        """Who is missing for a purge, since when by this front door's clock, and why; None where it does not
        lead and so cannot know."""
        return None if self._ballot is None else self._of(asked).pending()

    def handle(self, now_us: int, event: Event) -> Sequence[Propose]:
        match event:
            case LeaderChanged():
                self._leads(now_us, event)
            case Applied() if event.entry.machine == MACHINE and not event.outcome.error:
                self._applied(now_us, event)
            case Restored():
                self._since.clear()
                self._led_us = now_us
            case ProposalFinished() if event.id == self._out:
                self._out, self._next_us = "", now_us + LOOK_US
        return self._look(now_us) if now_us >= self.wake_us else ()

    def _leads(self, now_us: int, event: LeaderChanged) -> None:
        ballot = event.ballot if event.is_self else None
        if ballot != self._ballot:
            self._ballot, self._led_us, self._out, self._next_us = ballot, now_us, "", now_us
            self._since.clear()

    def _applied(self, now_us: int, event: Applied) -> None:
        if not isinstance(decode(event.entry.body), Ask):
            last = ended(event.outcome.value).last
            self._since = {position: since for position, since in self._since.items() if position > last}
            self._next_us = min(self._next_us, now_us)
        elif standing(event.outcome.value).asked == event.entry.position:
            self._since[event.entry.position] = now_us

    def _of(self, asked: Asked) -> Proving:
        return self.account(asked.position, self._since.get(asked.position, self._led_us))

    # --- what can be done ---

    def _look(self, now_us: int) -> list[Propose]:
        """Propose the most that is proven, of those asked first; one proposal at a time."""
        self._next_us = now_us + LOOK_US
        pending = self.purges.oldest(MOST_DONE_AT_ONCE)
        while pending:
            if self._of(pending[-1]).proof() is not None:
                return [self._propose(now_us, pending[-1])]
            pending = pending[: len(pending) // 2]
        return []

    def _propose(self, now_us: int, last: Asked) -> Propose:
        # As the proof is complete, each that is still open has said it.
        fences = tuple(opened.fencing_token for opened in self.purges.waiting(last))
        self._number += 1
        self._out, self._next_us = f"purged.{self._ballot}.{self._number}", now_us + AGAIN_US
        return Propose(MACHINE, self._out, encode(Done(last.position, fences)), WITHIN_US)
