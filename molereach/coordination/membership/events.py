"""Events that this core takes and actions it returns, beside those in `coordination.interface`."""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.words import Status


@dataclass(frozen=True, slots=True)
class Join:
    """Event: begin. Seeds are names; dead ones do no harm, and all are tried again now and then."""

    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Leave:
    """Event: this run ends in order. What is to be said goes out before the process does."""


@dataclass(frozen=True, slots=True)
class Changed:
    """Action: another belief of a life; `previous` is None for one that was not known."""

    life: NodeInstance
    status: Status
    previous: Status | None


@dataclass(frozen=True, slots=True)
class Displaced:
    """Action: a higher life goes by this front door's name. This run must end; it says nothing more."""

    life: NodeInstance


@dataclass(frozen=True, slots=True)
class Doubts:
    """Action: how much this front door doubts itself now, 0 for not at all."""

    level: int
