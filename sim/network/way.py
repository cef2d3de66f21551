"""How long things take between hosts, and how they fail by themselves; the only chance of the network."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from sim.loop import SimLoop

READ_BYTES = 64 * 1024


@dataclass(slots=True)
class Spec:
    """How long things take, in microseconds, and how they fail by themselves."""

    least_us: int = 30
    most_us: int = 250  # one way, drawn for each segment
    whole_reads: float = 0.7  # share of reads that take all that is there; others take a piece of any size
    lost: float = 0.0  # of datagrams, beside what the world's mail does
    descriptors: int = 65536  # of a process


class Receiver(Protocol):
    """An end of a connection: when the last of what is on its way arrives there."""

    arrive_us: int


class Way:
    """What lies between all hosts."""

    def __init__(self, loop: SimLoop, spec: Spec, random: Random) -> None:
        self.loop, self.spec, self.random = loop, spec, random

    def delay_us(self) -> int:
        return self.random.randint(self.spec.least_us, self.spec.most_us)

    def travel(self, receiver: Receiver, what: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        """Along one way of a connection: late by chance, never overtaking."""
        receiver.arrive_us = max(receiver.arrive_us + 1, self.loop.now_us + self.delay_us())
        self.loop.at(receiver.arrive_us, None, what, *args)

    def piece(self, there: int) -> int:
        """How much one read takes."""
        if there == 1 or self.random.random() < self.spec.whole_reads:
            return min(there, READ_BYTES)
        return self.random.randint(1, min(there, READ_BYTES))

    def after(self, delay_us: int, what: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        self.loop.at(self.loop.now_us + delay_us, None, what, *args)

    def loses(self) -> bool:
        """Whether a datagram is lost."""
        return bool(self.spec.lost) and self.random.random() < self.spec.lost
