"""Reports the facts measured at the leader to the log: in parts, one after another, and no more often than
needed.

A machine that becomes ready, or is no longer, is reported at once.
"""

from dataclasses import dataclass

import msgspec

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES
from molereach.upkeep.permits.bodies import ReportFacts
from molereach.upkeep.permits.fact_parts import split_facts
from molereach.upkeep.rules.fleet_facts import FleetFacts

ACTIVE_INTERVAL_US = 10 * SECOND_US  # while work items are open
IDLE_INTERVAL_US = 300 * SECOND_US
MAX_PART_BYTES = MAX_ENTRY_BODY_BYTES - 1024
MS_US = 1000


@dataclass(frozen=True, slots=True)
class FactsMeasured:
    """Event: what this front door knows of the fleet now. `at_ms` of the facts is ignored."""

    facts: FleetFacts


class FactReporter:
    """`next_part` is the one to propose; `part_applied` or `restart` reports its outcome."""

    def __init__(self) -> None:
        self._latest: tuple[int, FleetFacts] | None = None  # when it came, and the newest facts
        self._reported_at_us: int | None = None  # when the last set was started
        self._reported: FleetFacts | None = None
        self._parts: list[ReportFacts] = []
        self._measured_at_us = 0  # when the facts in `_parts` were measured
        self._number = 0

    def update(self, now_us: int, facts: FleetFacts) -> None:
        """Takes a new measurement."""
        self._latest = now_us, facts

    def next_part(self, now_us: int, active: bool) -> ReportFacts | None:
        """The next part to propose; None if no report is due. `active` says whether work items are open."""
        if not self._parts and self._latest and self._is_due(now_us, active, self._latest[1]):
            self._measured_at_us, self._reported = self._latest
            self._reported_at_us, self._number = now_us, self._number + 1
            self._parts = list(split_facts(self._reported, self._number, 0, MAX_PART_BYTES))
        if not self._parts:
            return None
        return msgspec.structs.replace(self._parts[0], age_ms=-(-(now_us - self._measured_at_us) // MS_US))

    def part_applied(self) -> None:
        """The part was applied; the next one follows."""
        self._parts = self._parts[1:]

    def restart(self) -> None:
        """The part was rejected, as another leader reported in between: starts a new set."""
        self._parts, self._reported = [], None

    def _is_due(self, now_us: int, active: bool, facts: FleetFacts) -> bool:
        if (
            self._reported_at_us is None
            or self._reported is None
            or _urgent_state(facts) != _urgent_state(self._reported)
        ):
            return True
        return now_us - self._reported_at_us >= (ACTIVE_INTERVAL_US if active else IDLE_INTERVAL_US)


def _urgent_state(facts: FleetFacts) -> tuple[frozenset[str], tuple[str, ...], tuple[str, ...]]:
    """The state whose change is reported at once: who is ready, who is a voter, what has an order."""
    servers = [each.name for each in facts.servers if each.ready]
    proxies = [each.name for each in facts.doors if each.ready]
    return frozenset(servers + proxies), facts.panel, facts.ordered
