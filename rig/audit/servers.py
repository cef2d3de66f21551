"""Rules 3 and 4: a drain is kept once a front door was told of it, and no cold server is pushed over by those
that knew of its start."""

from collections import defaultdict

from rig.audit.doors import Doors
from rig.audit.figures import Figures
from rig.audit.ledger import Ledger, Rule
from rig.facts import Arrived, Fell, Listed, Started, Told

TOLD_SHARE = 2 / 3  # of the work that pushed a server over, from front doors that knew of its start


class Servers:
    """What reached each server, and what front doors had been told of it."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.arrivals: dict[str, list[Arrived]] = defaultdict(list)  # by server
        self.started: dict[str, list[Started]] = defaultdict(list)
        self.fell: list[Fell] = []
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)  # by front door and server

    def take(self, fact: Arrived | Started | Fell | Told) -> None:
        match fact:
            case Arrived():
                self.arrivals[fact.server].append(fact)
            case Started():
                self.started[fact.server].append(fact)
            case Fell():
                self.fell.append(fact)
            case Told():
                self.told[fact.door, fact.server].append(fact)

    def judge_drains(self, doors: Doors, ledger: Ledger) -> None:
        for (door, server), tellings in self.told.items():
            tellings.sort(key=lambda fact: fact.at_us)
            mine = [arrival for arrival in self.arrivals.get(server, ()) if arrival.door == door]
            for arrival in mine:
                since_us = doors.process_since(door, arrival.first_us)
                before = [telling for telling in tellings if since_us <= telling.at_us <= arrival.first_us]
                drain = first_of_last_run(before)
                if drain and arrival.first_us > drain.at_us + self.figures.drain_us + ledger.slack_us:
                    text = f"sent to {server} after {door} was told"
                    ledger.note(Rule.DRAIN, arrival.id, text, drain, arrival)

    def judge_cold(self, ledger: Ledger) -> None:
        for fell in self.fell:
            start = max(
                (start for start in self.started.get(fell.server, ()) if start.at_us <= fell.at_us),
                key=lambda fact: fact.at_us,
                default=None,
            )
            if start and self.knew_share(fell, start) >= TOLD_SHARE:
                ledger.note(Rule.COLD, fell.server, "pushed over while it was cold", start, fell)

    def knew_share(self, fell: Fell, start: Started) -> float:
        """The share of the work that pushed a server over, from front doors that were told of its start."""
        since = max(start.at_us, fell.at_us - self.figures.fall_us)
        pushed = [
            arrival for arrival in self.arrivals.get(fell.server, ()) if since <= arrival.at_us <= fell.at_us
        ]
        total = sum(arrival.work_us for arrival in pushed)
        knew = sum(
            arrival.work_us
            for arrival in pushed
            if any(
                start.at_us <= telling.at_us <= arrival.at_us
                for telling in self.told.get((arrival.door, fell.server), ())
            )
        )
        return knew / total if total else 0.0


def first_of_last_run(tellings: list[Told]) -> Told | None:
    """The first word of the drain that is still on; None where the last word is that it serves."""
    first: Told | None = None
    for telling in tellings:
        if telling.state is Listed.SERVING:
            first = None
        elif first is None:
            first = telling
    return first
