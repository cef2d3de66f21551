"""Probes and relayed pings in flight.

Source: SWIM, section 3.1 (a direct ping, then indirect ones); Lifeguard, section IV.A, for the nack.
"""

from dataclasses import dataclass, field

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance

MAX_RELAYS = 64  # pings in flight for others; further requests are dropped, and get neither ack nor nack
NACK_TIMEOUT_FIFTHS = 4  # of the ping timeout: the nack must arrive before the requester's interval ends
RELAY_LIFETIME_TIMEOUTS = 4  # of the ping timeout, after which nobody waits for the ack


@dataclass(slots=True)
class Probe:
    """The probe of the current interval."""

    target: NodeInstance
    seq: int
    ping_deadline_us: int  # without an ack by then, others are asked
    helpers: set[str] = field(default_factory=set)
    nacks: set[str] = field(default_factory=set)
    indirect_sent: bool = False

    def is_answered_by(self, name: str, seq: int) -> bool:
        """Whether an ack of `name` answers this probe."""
        return seq == self.seq and (name == self.target.name or name in self.helpers)

    def record_nack(self, name: str, seq: int) -> None:
        """Record that a helper is alive but has no ack."""
        if seq == self.seq and name in self.helpers:
            self.nacks.add(name)

    @property
    def health_penalty(self) -> int:
        """By how much a missing ack lowers the local health: helpers that are alive do send a nack."""
        return len(self.helpers) - len(self.nacks) if self.helpers else 1


@dataclass(slots=True)
class Relay:
    """A ping on behalf of another member."""

    requester: NodeInstance
    requester_seq: int
    target: str
    nack_us: int  # NEVER_US once it was sent
    expires_us: int


class Relays:
    """The pings on behalf of others, by their sequence number here."""

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
        """Register one more, after removing those that have expired; False if there is no capacity."""
        self.in_flight = {seq: relay for seq, relay in self.in_flight.items() if now_us < relay.expires_us}
        if len(self.in_flight) >= MAX_RELAYS:
            return False
        nack_us = now_us + ping_timeout_us * NACK_TIMEOUT_FIFTHS // 5
        expires_us = now_us + RELAY_LIFETIME_TIMEOUTS * ping_timeout_us
        self.in_flight[seq] = Relay(requester, requester_seq, target, nack_us, expires_us)
        return True

    def take_answered(self, name: str, seq: int) -> Relay | None:
        """Remove and return the relay that an ack of `name` answers."""
        relay = self.in_flight.get(seq)
        return self.in_flight.pop(seq) if relay and relay.target == name else None

    def due_nacks(self, now_us: int) -> list[Relay]:
        """The relays for which a nack is due, each once."""
        due = [relay for relay in self.in_flight.values() if relay.nack_us <= now_us]
        for relay in due:
            relay.nack_us = NEVER_US
        return due

    @property
    def wake_us(self) -> int:
        """When the next nack is due."""
        return min((relay.nack_us for relay in self.in_flight.values()), default=NEVER_US)
