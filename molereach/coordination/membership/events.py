"""Events that this core takes and actions it returns, beside those in `coordination.interface.core`."""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.messages import MemberStatus


@dataclass(frozen=True, slots=True)
class Join:
    """Event: start. Seeds are names; dead seeds do no harm, and all are retried from time to time."""

    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Leave:
    """Event: this instance leaves in order. The messages that follow are sent before the process exits."""


@dataclass(frozen=True, slots=True)
class MemberStatusChanged:
    """Action: an instance has another status; `previous` is None if it was not known."""

    instance: NodeInstance
    status: MemberStatus
    previous: MemberStatus | None


@dataclass(frozen=True, slots=True)
class Superseded:
    """Action: a newer instance runs under this proxy's name. This one must end; it sends nothing more."""

    instance: NodeInstance


@dataclass(frozen=True, slots=True)
class LocalHealthChanged:
    """Action: the local health score has changed; 0 is healthy."""

    score: int
