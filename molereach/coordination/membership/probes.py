"""Probes and relayed pings in flight.

Source: SWIM, section 3.1 (direct and indirect pings); Lifeguard, section IV.A (the nack).
"""

from dataclasses import dataclass, field

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance

MAX_RELAYS = 64  # relayed pings in flight; further requests are dropped without an ack or nack
NACK_TIMEOUT_FIFTHS = 4  # of the ping timeout, as the nack must arrive before the requester's interval ends
RELAY_LIFETIME_TIMEOUTS = 4  # in ping timeouts; the requester does not wait for the ack any longer


@dataclass(slots=True)
class Probe:
    """The probe of the current interval."""

    target: NodeInstance
    seq: int
    ping_deadline_us: int  # without an ack by then, helpers are asked to ping
    helpers: set[str] = field(default_factory=set)
    nacks: set[str] = field(default_factory=set)
    indirect_sent: bool = False

    def is_answered_by(self, name: str, seq: int) -> bool:
        """Whether an ack from `name` with this sequence number answers the probe."""
        return seq == self.seq and (name == self.target.name or name in self.helpers)

    def record_nack(self, name: str, seq: int) -> None:
        """Record that a helper is alive but has received no ack."""
        if seq == self.seq and name in self.helpers:
            self.nacks.add(name)

    @property
    def health_penalty(self) -> int:
        """How much a failed probe adds to the local health score: one per missing nack; one without helpers.

        Live helpers send a nack, so a missing one suggests that this proxy does not receive its messages.
        """
        return len(self.helpers) - len(self.nacks) if self.helpers else 1


@dataclass(slots=True)
class Relay:
    """A ping sent on behalf of another member."""

    requester: NodeInstance
    requester_seq: int
    target: str
    nack_due_us: int  # NEVER_US once the nack has been sent
    expires_us: int


class Relays:
    """The relayed pings in flight, by the sequence number that this proxy gave them."""

    __slots__ = ("in_flight",)

    def __init__(self) -> None:
        self.in_flight: dict[int, Relay] = {}

    def begin(
        self,
        now_us: int,
        seq: int,
        requester: NodeInstance,
        requester_seq: int,
        target: str,
        ping_timeout_us: int,
    ) -> bool:
        """Register a relayed ping after removing expired ones; False if there is no capacity."""
        self.in_flight = {seq: relay for seq, relay in self.in_flight.items() if now_us < relay.expires_us}
        if len(self.in_flight) >= MAX_RELAYS:
            return False
        nack_due_us = now_us + ping_timeout_us * NACK_TIMEOUT_FIFTHS // 5
        expires_us = now_us + RELAY_LIFETIME_TIMEOUTS * ping_timeout_us
        self.in_flight[seq] = Relay(requester, requester_seq, target, nack_due_us, expires_us)
        return True

    def pop_answered(self, name: str, seq: int) -> Relay | None:
        """Remove and return the relay that an ack from `name` answers."""
        relay = self.in_flight.get(seq)
        return self.in_flight.pop(seq) if relay and relay.target == name else None

    def due_nacks(self, now_us: int) -> list[Relay]:
        """The relays whose nack is due; each is returned once."""
        due = [relay for relay in self.in_flight.values() if relay.nack_due_us <= now_us]
        for relay in due:
            relay.nack_due_us = NEVER_US
        return due

    @property
    def wake_us(self) -> int:
        """When the next nack is due."""
        return min((relay.nack_due_us for relay in self.in_flight.values()), default=NEVER_US)
