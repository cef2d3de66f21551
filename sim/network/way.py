"""Delays, read sizes and losses between hosts; the only source of randomness in the network."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from sim.loop import SimLoop

MAX_READ_BYTES = 64 * 1024


@dataclass(slots=True)
class NetworkSettings:
    """Ranges of delays and probabilities of partial reads and losses."""

    min_delay_us: int = 30
    max_delay_us: int = 250  # delays are one way and drawn for each segment
    whole_read_fraction: float = 0.7  # other reads return a random part of the available bytes
    datagram_loss: float = 0.0  # probability; faults that a scenario injects come on top
    max_descriptors: int = 65536  # per process


class Receiver(Protocol):
    """One end of a connection, with the arrival time of the last segment sent to it."""

    last_arrival_us: int


class Links:
    """Draws the delays and losses between all hosts."""

    def __init__(self, loop: SimLoop, settings: NetworkSettings, random: Random) -> None:
        self.loop, self.settings, self.random = loop, settings, random

    def delay_us(self) -> int:
        """Random one-way delay."""
        return self.random.randint(self.settings.min_delay_us, self.settings.max_delay_us)

    def deliver_in_order(self, receiver: Receiver, callback: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        """Call back after a random delay, in order with earlier segments to the same receiver."""
        receiver.last_arrival_us = max(receiver.last_arrival_us + 1, self.loop.now_us + self.delay_us())
        self.loop.call_at_us(receiver.last_arrival_us, None, callback, *args)

    def read_size(self, available: int) -> int:
        """Number of bytes that one read returns."""
        if available == 1 or self.random.random() < self.settings.whole_read_fraction:
            return min(available, MAX_READ_BYTES)
        return self.random.randint(1, min(available, MAX_READ_BYTES))

    def call_after(self, delay_us: int, callback: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        """Call back after a delay, outside any node."""
        self.loop.call_at_us(self.loop.now_us + delay_us, None, callback, *args)

    def drops_datagram(self) -> bool:
        """Whether to lose the next datagram."""
        return bool(self.settings.datagram_loss) and self.random.random() < self.settings.datagram_loss
