"""Who is probed next, and what is out.

Source: SWIM, sections 3.1 (direct, then through others) and 4.3 (round robin over a shuffled list, so that
each member is probed within two rounds at most); Lifeguard, section IV.A, for the nack.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance

MOST_RELAYS = 64  # pings for others that are out; more are not asked, and who wanted them hears nothing
NACK_PARTS = 4  # of five of the direct time: the nack must reach who asked before its beat is over

Draw = Callable[[], float]


def sample(names: Iterable[str], count: int, draw: Draw) -> list[str]:
    """`count` of them at most, by chance, in the order drawn."""
    left, out = list(names), list[str]()
    while left and len(out) < count:
        at = min(len(left) - 1, int(draw() * len(left)))
        left[at], left[-1] = left[-1], left[at]
        out.append(left.pop())
    return out


class Rounds:
    """The members that live, each once a round, in an order that is drawn anew for each round."""

    __slots__ = ("at", "draw", "names")

    def __init__(self, draw: Draw) -> None:
        self.names: list[str] = []
        self.at, self.draw = 0, draw

    def add(self, name: str) -> None:
        """At a place by chance, so that not all probe a newcomer in the same beat."""
        place = int(self.draw() * (len(self.names) + 1))
        self.names.insert(place, name)
        self.at += place < self.at

    def remove(self, name: str) -> None:
        place = self.names.index(name)
        del self.names[place]
        self.at -= place < self.at

    def next(self) -> str | None:
        if self.at >= len(self.names):
            self.names, self.at = sample(self.names, len(self.names), self.draw), 0
        if not self.names:
            return None
        self.at += 1
        return self.names[self.at - 1]


@dataclass(slots=True)
class Probe:
    """The question of this beat."""

    target: NodeInstance
    seq: int
    direct_us: int  # until when it is waited for before others are asked
    helpers: set[str] = field(default_factory=set)
    nacks: set[str] = field(default_factory=set)
    asked: bool = False

    def answered_by(self, name: str, seq: int) -> bool:
        return seq == self.seq and (name == self.target.name or name in self.helpers)

    def nacked(self, name: str, seq: int) -> None:
        if seq == self.seq and name in self.helpers:
            self.nacks.add(name)

    @property
    def against_us(self) -> int:
        """How much the missing answer speaks against who asked: helpers that live do say `Nack`."""
        return len(self.helpers) - len(self.nacks) if self.helpers else 1


@dataclass(slots=True)
class Relay:
    """A ping for somebody else."""

    asker: NodeInstance
    asker_seq: int
    target: str
    nack_us: int  # NEVER_US when it was said
    end_us: int


class Relays:
    """The pings for others, by their number here."""

    __slots__ = ("out",)

    def __init__(self) -> None:
        self.out: dict[int, Relay] = {}

    def begin(
        self, now: int, seq: int, asker: NodeInstance, asker_seq: int, target: str, direct_us: int
    ) -> bool:
        """Whether there is room for one more, without those that nobody waits for any longer."""
        self.out = {seq: relay for seq, relay in self.out.items() if now < relay.end_us}
        if len(self.out) >= MOST_RELAYS:
            return False
        nack_us = now + direct_us * NACK_PARTS // 5
        self.out[seq] = Relay(asker, asker_seq, target, nack_us, now + 4 * direct_us)
        return True

    def answered(self, name: str, seq: int) -> Relay | None:
        relay = self.out.get(seq)
        return self.out.pop(seq) if relay and relay.target == name else None

    def late(self, now: int) -> list[Relay]:
        """Those for which a `Nack` is due, each once."""
        due = [relay for relay in self.out.values() if relay.nack_us <= now]
        for relay in due:
            relay.nack_us = NEVER_US
        return due

    @property
    def wake_us(self) -> int:
        return min((relay.nack_us for relay in self.out.values()), default=NEVER_US)
