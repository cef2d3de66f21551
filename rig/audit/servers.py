"""Rules 3 and 4: front doors send no new work to a server after they were told that it drains, and do not
overload a cold server whose start they were told of.
"""

from collections import defaultdict

from rig.audit.doors import Doors
from rig.audit.figures import RuleParameters
from rig.audit.ledger import Ledger, Rule
from rig.facts import Arrived, Fell, Listed, Started, Told

MIN_INFORMED_SHARE = 2 / 3  # of the work before an overload, from front doors told of the server's start


class Servers:
    """The attempts that arrived at each server, and what front doors were told of it."""

    def __init__(self, parameters: RuleParameters) -> None:
        self.parameters = parameters
        self.arrivals: dict[str, list[Arrived]] = defaultdict(list)  # by server
        self.started: dict[str, list[Started]] = defaultdict(list)
        self.fell: list[Fell] = []
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)  # by front door and server

    def take(self, fact: Arrived | Started | Fell | Told) -> None:
        """Store a fact."""
        match fact:
            case Arrived():
                self.arrivals[fact.server].append(fact)
            case Started():
                self.started[fact.server].append(fact)
            case Fell():
                self.fell.append(fact)
            case Told():
                self.told[fact.door, fact.server].append(fact)

    def check_drains(self, doors: Doors, ledger: Ledger) -> None:
        """Rule 3: no attempt arrives later than the grace time after a front door was told of the drain."""
        for (door, server), told_facts in self.told.items():
            told_facts.sort(key=lambda fact: fact.at_us)
            from_door = [arrival for arrival in self.arrivals.get(server, ()) if arrival.door == door]
            for arrival in from_door:
                since_us = doors.process_start_us(door, arrival.first_us)
                before = [told for told in told_facts if since_us <= told.at_us <= arrival.first_us]
                drain = start_of_current_drain(before)
                if drain and arrival.first_us > drain.at_us + self.parameters.drain_us + ledger.slack_us:
                    text = f"sent to {server} after {door} was told"
                    ledger.add_violation(Rule.DRAIN, arrival.id, text, drain, arrival)

    def check_cold_servers(self, ledger: Ledger) -> None:
        """Rule 4: no cold server falls over mostly through work from front doors told of its start."""
        for fell in self.fell:
            start = max(
                (start for start in self.started.get(fell.server, ()) if start.at_us <= fell.at_us),
                key=lambda fact: fact.at_us,
                default=None,
            )
            if start and self.informed_share(fell, start) >= MIN_INFORMED_SHARE:
                ledger.add_violation(Rule.COLD, fell.server, "pushed over while it was cold", start, fell)

    def informed_share(self, fell: Fell, start: Started) -> float:
        """The share of the work before an overload that came from front doors told of the server's start."""
        since = max(start.at_us, fell.at_us - self.parameters.fall_us)
        pushed = [
            arrival for arrival in self.arrivals.get(fell.server, ()) if since <= arrival.at_us <= fell.at_us
        ]
        total_us = sum(arrival.work_us for arrival in pushed)
        informed_us = sum(
            arrival.work_us
            for arrival in pushed
            if any(
                start.at_us <= told.at_us <= arrival.at_us
                for told in self.told.get((arrival.door, fell.server), ())
            )
        )
        return informed_us / total_us if total_us else 0.0


def start_of_current_drain(told_facts: list[Told]) -> Told | None:
    """The first fact of a drain or removal still in force; None if the server was last listed as serving."""
    first: Told | None = None
    for told in told_facts:
        if told.state is Listed.SERVING:
            first = None
        elif first is None:
            first = told
    return first
