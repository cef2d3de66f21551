"""One front door's membership, spoken to by hand."""

import random
from collections.abc import Callable, Sequence
from typing import Any

from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.membership.core import Membership
from molereach.coordination.membership.events import Changed, Join
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.membership.words import Ack, Ping, Status, Sync

ALIVE, SUSPECT, DEAD, LEFT = Status
ME = NodeInstance("me", 5)
SETTINGS = MembershipSettings()
BEAT = SETTINGS.beat_us


class One:
    """A core with its clock, among members that answer as a test says."""

    def __init__(self, *names: str, settings: MembershipSettings = SETTINGS) -> None:
        self.core = Membership(ME, settings, random.Random(1).random)
        self.now = SECOND_US
        self.all: list[Any] = []
        self.do(Join())
        for name in names:
            self.hear(name, Sync())

    def do(self, event: Any) -> Sequence[Any]:  # noqa: ANN401
        actions = self.core.handle(self.now, event)
        self.all += actions
        return actions

    def hear(self, name: str, message: Any, number: int = 1) -> Sequence[Any]:  # noqa: ANN401
        return self.do(MessageReceived(NodeInstance(name, number), message))

    def tick(self) -> Sequence[Any]:
        """Let the time pass to where it wants a Tick, and give it on time."""
        self.now = max(self.now, self.core.wake_us)
        actions = [*self.do(Tick())]
        for _ in range(3):
            if self.core.wake_us > self.now:
                return actions
            actions += self.do(Tick())
        raise AssertionError("it wants the same Tick for ever")

    def until(self, kind: type, most: int = 1_000) -> tuple[str, Any]:
        """Tick until it says such a message: to whom, and that."""
        for _ in range(most):
            for action in self.tick():
                if isinstance(action, SendMessage) and isinstance(action.message, kind):
                    return action.recipient, action.message
        raise AssertionError(f"no {kind.__name__}")

    def run(self, us: int, answer: Callable[[SendMessage], Any] = lambda say: None) -> None:
        """Let time pass; `answer` gives what is said back at once, if anything."""
        end = self.now + us
        while self.core.wake_us <= end:
            for action in self.tick():
                if isinstance(action, SendMessage) and (message := answer(action)) is not None:
                    self.hear(action.recipient, message)
        self.now = end

    def changed(self, status: Status) -> set[str]:
        changes = [action for action in self.all if isinstance(action, Changed)]
        return {change.life.name for change in changes if change.status is status}


def says(actions: Sequence[Any]) -> list[SendMessage]:
    return [action for action in actions if isinstance(action, SendMessage)]


def acks(say: SendMessage) -> Any:  # noqa: ANN401
    return Ack(say.message.seq) if isinstance(say.message, Ping) else None


# --- stalls ---


def stalled(*names: str, us: int = 30 * SECOND_US) -> One:
    """A probe and its asks are out, and then the process stands still."""
    one = One(*names)
    one.until(Ping)
    one.tick()
    one.now += us
    return one
