"""What was measured at the leader, told to the log: in parts, one after the other, and not more often than is
needed. What is ready no more, or again, is told at once."""

from dataclasses import dataclass

import msgspec

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES
from molereach.upkeep.permits.bodies import Seen
from molereach.upkeep.permits.fact_parts import cut
from molereach.upkeep.rules.fleet_facts import Facts

EVERY_US = 10 * SECOND_US  # while works are open
IDLE_US = 300 * SECOND_US
MOST_PART_BYTES = MAX_ENTRY_BODY_BYTES - 1024
MS_US = 1000


@dataclass(frozen=True, slots=True)
class Measured:
    """Event: what this front door knows of the fleet now; `at_ms` of it is not read."""

    facts: Facts


class Telling:
    """`part` is the one to be proposed; `settled` or `failed` says what became of it."""

    def __init__(self) -> None:
        self._measured: tuple[int, Facts] | None = None  # the newest, and when it came
        self._told_us: int | None = None  # when the last set began
        self._told: Facts | None = None
        self._parts: list[Seen] = []
        self._of_us = 0  # when what these are of was measured
        self._number = 0

    def measured(self, now_us: int, facts: Facts) -> None:
        self._measured = now_us, facts

    def part(self, now_us: int, busy: bool) -> Seen | None:
        if not self._parts and self._measured and self._due(now_us, busy, self._measured[1]):
            self._of_us, self._told = self._measured
            self._told_us, self._number = now_us, self._number + 1
            self._parts = list(cut(self._told, self._number, 0, MOST_PART_BYTES))
        if not self._parts:
            return None
        return msgspec.structs.replace(self._parts[0], age_ms=-(-(now_us - self._of_us) // MS_US))

    def settled(self) -> None:
        self._parts = self._parts[1:]

    def failed(self) -> None:
        """Some other leader told its own between: begin anew."""
        self._parts, self._told = [], None

    def _due(self, now_us: int, busy: bool, facts: Facts) -> bool:
        if self._told_us is None or self._told is None or _ready(facts) != _ready(self._told):
            return True
        return now_us - self._told_us >= (EVERY_US if busy else IDLE_US)


def _ready(facts: Facts) -> tuple[frozenset[str], tuple[str, ...], tuple[str, ...]]:
    """What is not to wait: who is ready, who has a seat, what is ordered."""
    servers = [each.name for each in facts.servers if each.ready]
    doors = [each.name for each in facts.doors if each.ready]
    return frozenset(servers + doors), facts.panel, facts.ordered
