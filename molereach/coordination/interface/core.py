"""What all cores have in common: the events and actions, and how a core is driven."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from molereach.coordination.interface.identifiers import NodeInstance

NEVER_US = 1 << 62  # a time that no clock reaches


@dataclass(frozen=True, slots=True)
class Tick:
    """Event: the time that the core's `wake_us` named has come or has passed."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Event: a message of another proxy. The transport has verified its sender and decoded it."""

    sender: NodeInstance
    message: Any  # one of the core's own `Message` types


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Action: send a message to the newest instance of a proxy; it may be lost, late, doubled or reordered.

    With `instance_number` it is for that instance alone: the transport drops it for any other.
    """

    recipient: str
    message: Any
    instance_number: int | None = None


class Core(Protocol):
    """One part of coordination in one proxy, without I/O."""

    @property
    def wake_us(self) -> int:
        """When the core wants a `Tick` if no event comes before; `NEVER_US` for never."""

    def handle(self, now_us: int, event: Any) -> Sequence[Any]:  # noqa: ANN401
        """Apply one event; the actions to carry out, in order. `now_us` never decreases within a run."""
