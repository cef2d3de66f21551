"""The auditor takes facts in any order, and returns the ledger once all are in.

Each violation names the request, server or customer and the two facts that contradict each other. The rules
and their parameters: the protocol's section "The rules on sockets".
"""

from collections.abc import Iterable

from rig.audit.ceilings import check_ceilings
from rig.audit.doors import Doors
from rig.audit.effects import check_effects
from rig.audit.figures import RuleParameters
from rig.audit.ledger import Ledger, Rule
from rig.audit.outcomes import Outcomes
from rig.audit.quotas import measure_quotas
from rig.audit.requests import Requests
from rig.audit.servers import Servers
from rig.facts import Arrived, DoorDown, DoorUp, Extra, Fact, Fell, Late, Repeat, Started, Told


class Auditor:
    """Distributes facts to the parts that store them, and runs all checks."""

    def __init__(self, parameters: RuleParameters) -> None:
        self.parameters = parameters
        self.requests, self.doors, self.servers = Requests(), Doors(), Servers(parameters)
        self.extras: list[Extra] = []
        self.ledger = Ledger()

    def feed(self, facts: Iterable[Fact]) -> None:
        """Store many facts."""
        for fact in facts:
            self.take(fact)

    def take(self, fact: Fact) -> None:
        """Store one fact."""
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

    def audit(self) -> Ledger:
        """Check all stored facts and return the ledger; call it once."""
        ledger, requests_by_id = self.ledger, self.requests.sent_by_clients()
        outcomes = Outcomes(self.requests, self.doors, ledger)
        for request_id, request in requests_by_id:
            request.sort()
            outcomes.check(request_id, request)
            check_effects(ledger, request_id, request)
        for extra in self.extras:
            ledger.add_violation(Rule.LOST, extra.door, extra.text, extra, extra)
        for down in self.doors.crashes():
            ledger.add_violation(Rule.LOST, down.door, "the front door crashed", down, down)
        if ledger.times_judged:
            self.servers.check_drains(self.doors, ledger)
        self.servers.check_cold_servers(ledger)
        requests = [request for _, request in requests_by_id]
        check_ceilings(ledger, self.parameters.ceilings, requests)
        measure_quotas(ledger, self.parameters.quotas, requests)
        return ledger
