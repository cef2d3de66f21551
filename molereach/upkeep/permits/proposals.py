"""A leader's proposals that have no answer yet, one at a time for each thing, and what is not tried again
at once.

Each try has an id of its own: one that was refused and is told again under its id would only be refused
again.
"""

from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import ProposalFinished, ProposalStatus, Propose
from molereach.upkeep.permits.bodies import MACHINE, Body, encode

WITHIN_US = 2 * SECOND_US  # after which the log says UNKNOWN
RETRY_US = SECOND_US  # after a refusal
MOST_OPEN = 16


class Proposals:
    """Of one leader's time."""

    def __init__(self, me: NodeInstance, ballot: int) -> None:
        self._prefix = f"up.{me.number:x}.{ballot:x}."
        self._count = 0
        self._open: dict[str, str] = {}  # what it is for, by id
        self._again_us: dict[str, int] = {}  # not before, by what it is for

    @property
    def full(self) -> bool:
        return len(self._open) >= MOST_OPEN

    def open(self, what: str) -> bool:
        return what in self._open.values()

    def wait(self, now_us: int, what: str, for_us: int) -> bool:
        """Whether it may be done now; if so not again for a time."""
        if now_us < self._again_us.get(what, 0):
            return False
        self._again_us[what] = now_us + for_us
        return True

    def make(self, now_us: int, what: str, body: Body) -> list[Propose]:
        if self.open(what) or now_us < self._again_us.get(what, 0) or self.full:
            return []
        self._count += 1
        id = f"{self._prefix}{self._count:x}"
        self._open[id] = what
        return [Propose(MACHINE, id, encode(body), WITHIN_US)]

    def over(self, now_us: int, event: ProposalFinished) -> tuple[str, bool] | None:
        """What it was for and whether it was done; None for another's."""
        what = self._open.pop(event.id, None)
        if what is None:
            return None
        done = (
            event.status is ProposalStatus.APPLIED and event.outcome is not None and not event.outcome.error
        )
        if not done:
            self._again_us[what] = now_us + RETRY_US
        return what, done

    def forget(self, now_us: int) -> None:
        """What need not be waited for any more."""
        self._again_us = {what: at_us for what, at_us in self._again_us.items() if at_us > now_us}
