"""Facts in, in any order; the ledger out once all are in.

What it finds names the request (or server, or customer) and the two facts that clash. Rules and figures: the
protocol's section "The rules on sockets".
"""

from collections.abc import Iterable

from rig.audit.ceilings import judge_ceilings
from rig.audit.doors import Doors
from rig.audit.effects import judge_effects
from rig.audit.figures import Figures
from rig.audit.ledger import Ledger, Rule
from rig.audit.outcomes import Outcomes
from rig.audit.quotas import count_quotas
from rig.audit.requests import Requests
from rig.audit.servers import Servers
from rig.facts import Arrived, DoorDown, DoorUp, Extra, Fact, Fell, Late, Repeat, Started, Told


class Auditor:
    """Hands each fact to what keeps it, and has all of it judged."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.requests, self.doors, self.servers = Requests(), Doors(), Servers(figures)
        self.extras: list[Extra] = []
        self.ledger = Ledger()

    def feed(self, facts: Iterable[Fact]) -> None:
        for fact in facts:
            self.take(fact)

    def take(self, fact: Fact) -> None:
        match fact:
            case Started() | Fell() | Told():
                self.servers.take(fact)
            case DoorUp() | DoorDown():
                self.doors.take(fact)
            case Extra():
                self.extras.append(fact)
            case Late():
                self.ledger.late_us = max(self.ledger.late_us, fact.by_us)
            case Arrived():
                self.requests.take(fact)
                self.servers.take(fact)
            case Repeat():
                self.ledger.repeats_dropped += 1
                self.requests.take(fact)
            case _:
                self.requests.take(fact)

    def judge(self) -> Ledger:
        """The ledger of all that was fed; call it once."""
        ledger, asked = self.ledger, self.requests.asked()
        outcomes = Outcomes(self.requests, self.doors, ledger)
        for name, request in asked:
            request.sort()
            outcomes.judge(name, request)
            judge_effects(ledger, name, request)
        for extra in self.extras:
            ledger.note(Rule.LOST, extra.door, extra.text, extra, extra)
        for down in self.doors.crashes():
            ledger.note(Rule.LOST, down.door, "the front door crashed", down, down)
        if ledger.times_judged:
            self.servers.judge_drains(self.doors, ledger)
        self.servers.judge_cold(ledger)
        requests = [request for _, request in asked]
        judge_ceilings(ledger, self.figures.ceilings, requests)
        count_quotas(ledger, self.figures.quotas, requests)
        return ledger
