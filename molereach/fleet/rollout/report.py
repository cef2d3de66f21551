"""How giving an order ended, and what everybody said: what the tool prints, as text or as JSON."""

from enum import Enum

import msgspec

from molereach.fleet.orders import Decided


class Verdict(Enum):
    """How giving an order ended."""

    DONE = "done"  # everywhere
    PARTLY = "partly"  # it stands, and not everybody has said that it is carried out
    CONFLICT = "conflict"  # another order stands in its way
    UNREACHABLE = "unreachable"  # no majority of agents: it may or may not come to stand
    REFUSED = "refused"


class AgentWord(msgspec.Struct, frozen=True):
    """What an agent said last."""

    agent: str
    told: bool  # it knows of the order
    why: str = ""  # it could not be reached, with the reason


class DoorWord(msgspec.Struct, frozen=True):
    """What a front door said last, by its agent."""

    agent: str
    door: str
    carried_out: bool
    reach: str  # as in `view.Reach`, or "unknown"
    revision: int | None  # the last that it is known to have had
    heard_ago_ms: int | None
    why: str = ""


class Report(msgspec.Struct, frozen=True):
    """How an order ended, and what everybody said."""

    verdict: Verdict
    order_id: str
    text: str
    decided: Decided | None = None
    winner: Decided | None = None
    agents: tuple[AgentWord, ...] = ()
    doors: tuple[DoorWord, ...] = ()
