"""The network between front doors: what becomes of each datagram. A core; chance is told with each one."""

from collections import deque
from dataclasses import dataclass, replace

S = 1_000_000
MOST_BYTES = 256  # of a datagram, by the protocol
LATEST_PARTS = 4.0  # a datagram that is held back comes so many usual delays later


@dataclass(frozen=True, slots=True)
class MailSpec:
    """How datagrams fare: delays in microseconds, shares from 0 to 1."""

    least_us: int = 1_600
    most_us: int = 20_000
    loss: float = 0.02
    duplicate: float = 0.0
    reorder: float = 0.0  # share that is held back, so that later ones overtake it
    intake_per_s: float = 60.0  # datagrams that a front door takes in; more are lost


@dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram; `draws` are four numbers from 0 to 1 that decide its fate."""

    sender: int
    receiver: int
    size: int
    draws: tuple[float, float, float, float]


class Mail:
    """Says when each copy of a datagram arrives; no copy means that it is lost."""

    def __init__(self, spec: MailSpec) -> None:
        self.spec = spec
        self.groups: tuple[frozenset[int], ...] = ()  # while split; who is in none hears nobody
        self.taken: dict[int, deque[int]] = {}  # by receiver: arrivals within the last second
        self.lost = self.delivered = self.oversized = 0

    def split(self, groups: tuple[frozenset[int], ...]) -> None:
        self.groups = groups

    def heal(self) -> None:
        self.groups = ()

    def change(self, **changes: float) -> None:
        self.spec = replace(self.spec, **changes)  # type: ignore[arg-type]

    def joined(self, sender: int, receiver: int) -> bool:
        return not self.groups or any(sender in group and receiver in group for group in self.groups)

    def handle(self, now_us: int, datagram: Datagram) -> list[int]:
        """The times at which copies of it arrive."""
        if datagram.size > MOST_BYTES:
            self.oversized += 1
            return []
        loses, doubles, holds, delays = datagram.draws
        if not self.joined(datagram.sender, datagram.receiver) or loses < self.spec.loss:
            self.lost += 1
            return []
        span = self.spec.most_us - self.spec.least_us
        delay = self.spec.least_us + round(delays * span)
        if holds < self.spec.reorder:
            delay += round(LATEST_PARTS * self.spec.most_us)
        times = [now_us + delay]
        if doubles < self.spec.duplicate:
            times.append(now_us + delay + self.spec.least_us)
        return [at for at in times if self.take_in(datagram.receiver, at)]

    def take_in(self, receiver: int, at_us: int) -> bool:
        """Whether the receiver still takes it in: only so many a second."""
        taken = self.taken.setdefault(receiver, deque())
        while taken and taken[0] <= at_us - S:
            taken.popleft()
        if len(taken) >= self.spec.intake_per_s:
            self.lost += 1
            return False
        taken.append(at_us)
        self.delivered += 1
        return True
