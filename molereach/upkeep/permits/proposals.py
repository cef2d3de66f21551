"""The open proposals of a leader, one for each purpose, and the delay before a rejected one is repeated.

Each attempt has its own id, because the log answers a repeated id with the earlier rejection.
"""

from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import ProposalFinished, ProposalStatus, Propose
from molereach.upkeep.permits.bodies import MACHINE, Body, encode

PROPOSAL_TIMEOUT_US = 2 * SECOND_US  # after which the log reports UNKNOWN
RETRY_DELAY_US = SECOND_US  # after a rejection
MAX_OPEN_PROPOSALS = 16


class OpenProposals:
    """The open proposals of one ballot."""

    def __init__(self, me: NodeInstance, ballot: int) -> None:
        self._prefix = f"up.{me.number:x}.{ballot:x}."
        self._count = 0
        self._open: dict[str, str] = {}  # purposes by proposal id
        self._not_before_us: dict[str, int] = {}  # by purpose: no proposal before this time

    @property
    def is_full(self) -> bool:
        """Whether the limit of open proposals is reached."""
        return len(self._open) >= MAX_OPEN_PROPOSALS

    def is_open(self, purpose: str) -> bool:
        """Whether there is an open proposal for this purpose."""
        return purpose in self._open.values()

    def claim_interval(self, now_us: int, purpose: str, interval_us: int) -> bool:
        """Whether an action is allowed now; if so, it is not allowed again for `interval_us`."""
        if now_us < self._not_before_us.get(purpose, 0):
            return False
        self._not_before_us[purpose] = now_us + interval_us
        return True

    def propose(self, now_us: int, purpose: str, body: Body) -> list[Propose]:
        """Proposes an entry, unless one for this purpose is open or delayed, or the limit is reached."""
        if self.is_open(purpose) or now_us < self._not_before_us.get(purpose, 0) or self.is_full:
            return []
        self._count += 1
        id = f"{self._prefix}{self._count:x}"
        self._open[id] = purpose
        return [Propose(MACHINE, id, encode(body), PROPOSAL_TIMEOUT_US)]

    def finish(self, now_us: int, event: ProposalFinished) -> tuple[str, bool] | None:
        """The purpose of a finished proposal and whether it succeeded; None if it is not one of these."""
        purpose = self._open.pop(event.id, None)
        if purpose is None:
            return None
        done = (
            event.status is ProposalStatus.APPLIED and event.outcome is not None and not event.outcome.error
        )
        if not done:
            self._not_before_us[purpose] = now_us + RETRY_DELAY_US
        return purpose, done

    def drop_expired_delays(self, now_us: int) -> None:
        """Forgets delays that have passed."""
        self._not_before_us = {
            purpose: at_us for purpose, at_us in self._not_before_us.items() if at_us > now_us
        }
