"""A model of the datagram network between front doors.

It does no I/O; the random draws come with each datagram.
"""

from collections import deque
from dataclasses import dataclass, replace

US_PER_S = 1_000_000
MAX_DATAGRAM_BYTES = 256  # by the protocol
REORDER_DELAY_FACTOR = 4.0  # extra delay of a reordered datagram, in largest normal delays


@dataclass(frozen=True, slots=True)
class DatagramSpec:
    """Properties of the network: delays in microseconds, shares from 0 to 1."""

    min_delay_us: int = 1_600
    max_delay_us: int = 20_000
    loss: float = 0.02
    duplicate: float = 0.0
    reorder: float = 0.0  # share delayed so that later datagrams overtake it
    accept_per_s: float = 60.0  # datagrams that a front door accepts; more are lost


@dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram; `draws` are four random numbers from 0 to 1 that decide how it is delivered."""

    sender: int
    receiver: int
    size: int
    draws: tuple[float, float, float, float]


class DatagramModel:
    """Decides when each copy of a datagram arrives; a lost one has no copy."""

    def __init__(self, spec: DatagramSpec) -> None:
        self.spec = spec
        self.groups: tuple[frozenset[int], ...] = ()  # of a split; a front door in no group receives nothing
        self.accepted: dict[int, deque[int]] = {}  # by receiver: times within the last second
        self.lost = self.delivered = self.oversized = 0

    def split(self, groups: tuple[frozenset[int], ...]) -> None:
        """Deliver within the groups only."""
        self.groups = groups

    def heal(self) -> None:
        """End a split."""
        self.groups = ()

    def change(self, **changes: float) -> None:
        """Change properties of the network."""
        self.spec = replace(self.spec, **changes)  # type: ignore[arg-type]

    def connected(self, sender: int, receiver: int) -> bool:
        """Whether a split lets datagrams pass between two front doors."""
        return not self.groups or any(sender in group and receiver in group for group in self.groups)

    def handle(self, now_us: int, datagram: Datagram) -> list[int]:
        """The arrival times of the copies of a datagram."""
        if datagram.size > MAX_DATAGRAM_BYTES:
            self.oversized += 1
            return []
        loss_draw, duplicate_draw, reorder_draw, delay_draw = datagram.draws
        if not self.connected(datagram.sender, datagram.receiver) or loss_draw < self.spec.loss:
            self.lost += 1
            return []
        delay_range_us = self.spec.max_delay_us - self.spec.min_delay_us
        delay_us = self.spec.min_delay_us + round(delay_draw * delay_range_us)
        if reorder_draw < self.spec.reorder:
            delay_us += round(REORDER_DELAY_FACTOR * self.spec.max_delay_us)
        times_us = [now_us + delay_us]
        if duplicate_draw < self.spec.duplicate:
            times_us.append(now_us + delay_us + self.spec.min_delay_us)
        return [at_us for at_us in times_us if self.accept(datagram.receiver, at_us)]

    def accept(self, receiver: int, at_us: int) -> bool:
        """Whether the receiver accepts another datagram: the rate over the last second is limited."""
        accepted = self.accepted.setdefault(receiver, deque())
        while accepted and accepted[0] <= at_us - US_PER_S:
            accepted.popleft()
        if len(accepted) >= self.spec.accept_per_s:
            self.lost += 1
            return False
        accepted.append(at_us)
        self.delivered += 1
        return True
