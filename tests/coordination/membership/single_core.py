"""A single membership core whose clock and incoming messages the test controls."""

import random
from collections.abc import Callable, Sequence
from typing import Any

from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.membership.core import Membership
from molereach.coordination.membership.events import Join, MemberStatusChanged
from molereach.coordination.membership.messages import Ack, MemberStatus, Ping, Sync
from molereach.coordination.membership.settings import MembershipSettings

ALIVE, SUSPECT, DEAD, LEFT = MemberStatus
LOCAL = NodeInstance("me", 5)
SETTINGS = MembershipSettings()
INTERVAL_US = SETTINGS.probe_interval_us


class SingleCore:
    """A membership core with its clock, and members whose replies the test provides."""

    def __init__(self, *names: str, settings: MembershipSettings = SETTINGS) -> None:
        self.core = Membership(LOCAL, settings, random.Random(1).random)
        self.now_us = SECOND_US
        self.actions: list[Any] = []
        self.handle(Join())
        for name in names:
            self.receive(name, Sync())

    def handle(self, event: Any) -> Sequence[Any]:  # noqa: ANN401
        actions = self.core.handle(self.now_us, event)
        self.actions += actions
        return actions

    def receive(self, name: str, message: Any, number: int = 1) -> Sequence[Any]:  # noqa: ANN401
        return self.handle(MessageReceived(NodeInstance(name, number), message))

    def tick(self) -> Sequence[Any]:
        """Advance the clock to the next due Tick and deliver it on time."""
        self.now_us = max(self.now_us, self.core.wake_us)
        actions = [*self.handle(Tick())]
        for _ in range(3):
            if self.core.wake_us > self.now_us:
                return actions
            actions += self.handle(Tick())
        raise AssertionError("the core requests the same Tick repeatedly")

    def run_until_sent(self, kind: type, max_ticks: int = 1_000) -> tuple[str, Any]:
        """Tick until the core sends a message of that type; returns the recipient and the message."""
        for _ in range(max_ticks):
            for action in self.tick():
                if isinstance(action, SendMessage) and isinstance(action.message, kind):
                    return action.recipient, action.message
        raise AssertionError(f"no {kind.__name__} was sent")

    def run(self, duration_us: int, reply: Callable[[SendMessage], Any] = lambda sent: None) -> None:
        """Advance the clock; `reply` returns the immediate reply to a sent message, or None."""
        end_us = self.now_us + duration_us
        while self.core.wake_us <= end_us:
            for action in self.tick():
                if isinstance(action, SendMessage) and (message := reply(action)) is not None:
                    self.receive(action.recipient, message)
        self.now_us = end_us

    def changed_to(self, status: MemberStatus) -> set[str]:
        changes = [action for action in self.actions if isinstance(action, MemberStatusChanged)]
        return {change.instance.name for change in changes if change.status is status}


def sent_messages(actions: Sequence[Any]) -> list[SendMessage]:
    return [action for action in actions if isinstance(action, SendMessage)]


def ack_pings(sent: SendMessage) -> Any:  # noqa: ANN401
    return Ack(sent.message.seq) if isinstance(sent.message, Ping) else None


# --- stalls ---


def stalled_core(*names: str, stall_us: int = 30 * SECOND_US) -> SingleCore:
    """A core whose process stalled with a probe and its indirect probes in flight."""
    single = SingleCore(*names)
    single.run_until_sent(Ping)
    single.tick()
    single.now_us += stall_us
    return single
