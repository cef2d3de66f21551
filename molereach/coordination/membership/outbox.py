"""The actions that one event causes, in order: messages with piggybacked rumours, and state changes.

Source: SWIM, section 4.1. All state changes pass through the outbox, so it also updates the probe schedule.
"""

from collections.abc import Iterable, Sequence

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.membership.events import LocalHealthChanged, MemberStatusChanged, Superseded
from molereach.coordination.membership.member_states import MemberStates, StateChange
from molereach.coordination.membership.messages import (
    Ack,
    Message,
    Nack,
    Ping,
    PingReq,
    Rumour,
    Sync,
    split_rumours,
)
from molereach.coordination.membership.probe_schedule import ProbeSchedule

Action = SendMessage | StateChange


class Outbox:
    """Collects the actions of the current event; accepts none once this instance is superseded."""

    __slots__ = ("actions", "schedule", "states", "superseded")

    def __init__(self, states: MemberStates, schedule: ProbeSchedule) -> None:
        self.states = states
        self.schedule = schedule
        self.actions: list[Action] = []
        self.superseded = False

    def drain(self) -> list[Action]:
        """Remove and return the collected actions."""
        actions = self.actions
        self.actions = []
        return actions

    # --- messages ---

    def ping(self, recipient: str, seq: int, instance_number: int) -> None:
        """Send a `Ping` to one instance."""
        self._send(recipient, Ping(seq, self._rumours(recipient)), instance_number)

    def ping_req(self, recipient: str, seq: int, name: str, number: int) -> None:
        """Ask `recipient` to ping the instance `number` of `name`."""
        self._send(recipient, PingReq(seq, name, number, self._rumours(recipient)), None)

    def ack(self, recipient: str, seq: int, instance_number: int) -> None:
        """Send an `Ack` to one instance."""
        self._send(recipient, Ack(seq, self._rumours(recipient)), instance_number)

    def nack(self, recipient: str, seq: int, instance_number: int) -> None:
        """Send a `Nack` to one instance."""
        self._send(recipient, Nack(seq, self._rumours(recipient)), instance_number)

    def send_sync(self, recipients: Iterable[str], wants_reply: bool) -> None:
        """Send only the leading rumours; `wants_reply` asks for all rumours of the recipients."""
        for name in recipients:
            self._send(name, Sync(self.states.leading_rumours(name), wants_reply), None)

    def send_correction(self, recipient: str, instance_number: int) -> None:
        """Inform an older instance that a newer one is known."""
        self._send(recipient, Sync(self.states.leading_rumours(recipient)), instance_number)

    def send_all_rumours(self, recipient: str, wants_reply: bool) -> None:
        """Send all rumours; only the last message asks for the reply."""
        groups = split_rumours(self.states.all_rumours())
        for number, group in enumerate(groups, 1):
            self._send(recipient, Sync(group, wants_reply and number == len(groups)), None)

    def _rumours(self, recipient: str) -> tuple[Rumour, ...]:
        leading = self.states.leading_rumours(recipient)
        limit = self.states.settings.max_rumours
        return self.states.gossip.next_rumours(self.states.member_count, limit, leading)

    def _send(self, recipient: str, message: Message, instance_number: int | None) -> None:
        if not self.superseded:
            self.actions.append(SendMessage(recipient, message, instance_number))

    # --- state changes ---

    def emit(self, changes: Sequence[StateChange]) -> None:
        """Add state changes, and keep exactly the live members in the probe schedule."""
        for change in changes:
            if self.superseded:
                return
            self.actions.append(change)
            if isinstance(change, Superseded):
                self.superseded = True
            elif isinstance(change, MemberStatusChanged):
                self._update_schedule(change)

    def adjust_local_health(self, delta: int) -> None:
        """Adjust the local health score, and report it if it changed."""
        if self.states.local_health.adjust(delta):
            self.emit([LocalHealthChanged(self.states.local_health.score)])

    def _update_schedule(self, change: MemberStatusChanged) -> None:
        scheduled = change.instance.name in self.schedule.names
        if change.status.is_live and not scheduled:
            self.schedule.add(change.instance.name)
        elif not change.status.is_live and scheduled:
            self.schedule.remove(change.instance.name)
