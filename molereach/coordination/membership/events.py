"""Events and actions of this core, in addition to those of `coordination.interface.core`."""

from dataclasses import dataclass

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.messages import MemberStatus


@dataclass(frozen=True, slots=True)
class Join:
    """Event: join the group through seeds, given by name. Some may be down; they are retried until known."""

    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Leave:
    """Event: leave gracefully. The resulting messages must be sent before the process exits."""


@dataclass(frozen=True, slots=True)
class MemberStatusChanged:
    """Action: the status of an instance changed; `previous` is None if the instance was unknown."""

    instance: NodeInstance
    status: MemberStatus
    previous: MemberStatus | None


@dataclass(frozen=True, slots=True)
class Superseded:
    """Action: a newer instance of this proxy is running. This one must exit and sends nothing more."""

    instance: NodeInstance


@dataclass(frozen=True, slots=True)
class LocalHealthChanged:
    """Action: the local health score changed; 0 is healthy."""

    score: int
