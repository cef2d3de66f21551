"""Rule 1, no request is lost: each has one outcome, in time, and a served one a value from a server."""

from dataclasses import dataclass

from rig.audit.doors import Doors
from rig.audit.ledger import Ledger, Outcome, Rule
from rig.audit.requests import Request, Requests
from rig.facts import Fact, Kind

LISTENER_CLOSE_LEAD_US = 500_000  # from a front door closing its listener until its process has ended
OUTCOME_OF = {Kind.SERVED: Outcome.SERVED, Kind.REFUSED: Outcome.REFUSED, Kind.FAILED: Outcome.FAILED}


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Checks each request against its own facts and the outages of its front door."""

    requests: Requests
    doors: Doors
    ledger: Ledger

    def add_violation(self, request_id: str, text: str, first: Fact, second: Fact) -> None:
        """Record that the rule is broken for a request."""
        self.ledger.add_violation(Rule.LOST, request_id, text, first, second)

    def check(self, request_id: str, request: Request) -> None:
        """Record the outcome of a request, and check its answers and attempts."""
        outcome, door = self.outcome(request_id, request)
        self.ledger.outcomes[request_id] = outcome
        self.ledger.counts[outcome] += 1
        self.ledger.by_door[door][outcome] += 1
        ask = request.asks[-1]
        if len(request.answers) > 1:
            self.add_violation(request_id, "answered more than once", request.answers[0], request.answers[1])
        for answer in request.answers:
            late = answer.at_us > ask.until_us + self.ledger.slack_us and self.ledger.times_judged
            if late and not self.doors.outage_explains(ask.door, ask.at_us, answer.at_us):
                self.add_violation(request_id, "answered after the client's time", ask, answer)
            if answer.kind is Kind.SERVED and (answer.value, request_id) not in self.requests.made:
                self.add_violation(request_id, "served with what no server made for it", ask, answer)
        if request.answers and self.ledger.times_judged:
            final = request.answers[0]
            for arrival in request.arrivals:
                if arrival.first_us > final.at_us + self.ledger.slack_us:
                    self.add_violation(request_id, "sent on after its final answer", final, arrival)

    def outcome(self, request_id: str, request: Request) -> tuple[Outcome, str]:
        """The outcome of a request, and its front door."""
        ask = request.asks[-1]
        if request.answers:
            return OUTCOME_OF[request.answers[0].kind], request.answers[0].door
        departure = request.left
        ended_us = max(
            (end.at_us for end in request.ends), default=departure.at_us if departure else ask.until_us
        )
        closing_us = 0 if ask.taken else LISTENER_CLOSE_LEAD_US
        if self.doors.outage_explains(ask.door, ask.at_us, ended_us + self.ledger.slack_us, closing_us):
            return Outcome.LOST_TO_KILL, ask.door
        if departure and departure.at_us <= ask.until_us:
            return Outcome.CLIENT_GONE, ask.door
        ends: list[Fact] = [*request.ends, *([departure] if departure else []), ask]
        last = ends[0]
        text = "taken and never answered" if ask.taken else "not taken by a front door that is up"
        self.add_violation(request_id, text, ask, last)
        return Outcome.UNACCOUNTED, ask.door
