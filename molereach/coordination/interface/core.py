"""The events and actions common to all cores, and the protocol by which a core is driven."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from molereach.coordination.interface.identifiers import NodeInstance

NEVER_US = 1 << 62  # later than any time of a clock


@dataclass(frozen=True, slots=True)
class Tick:
    """Event: the time given by the core's `wake_us` has been reached."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Event: a message from another proxy. The transport has decoded it and verified its sender."""

    sender: NodeInstance
    message: Any  # one of the core's own `Message` types


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Action: send a message to the newest instance of a proxy.

    The message may be lost, delayed, duplicated or reordered. With `instance_number` it is meant for that
    instance only, and the transport drops it if another instance is running.
    """

    recipient: str
    message: Any
    instance_number: int | None = None


class Core(Protocol):
    """The logic of one coordination package in one proxy, without I/O."""

    @property
    def wake_us(self) -> int:
        """When the core needs a `Tick` if no event arrives earlier; `NEVER_US` for never."""

    def handle(self, now_us: int, event: Any) -> Sequence[Any]:  # noqa: ANN401
        """Handle one event and return the actions to perform, in order.

        `now_us` never decreases within a run.
        """
