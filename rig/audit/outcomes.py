"""Rule 1, no request is lost: each has exactly one outcome, in its time, of what a server made for it."""

from dataclasses import dataclass

from rig.audit.doors import Doors
from rig.audit.ledger import Ledger, Outcome, Rule
from rig.audit.requests import Request, Requests
from rig.facts import Fact, Kind

CLOSING_US = 500_000  # from when a door that ends closes its listener to when its process is gone
OUTCOME_OF = {Kind.SERVED: Outcome.SERVED, Kind.REFUSED: Outcome.REFUSED, Kind.FAILED: Outcome.FAILED}


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Judges each request by its own facts and by when its front door was up."""

    requests: Requests
    doors: Doors
    ledger: Ledger

    def note(self, name: str, text: str, first: Fact, second: Fact) -> None:
        self.ledger.note(Rule.LOST, name, text, first, second)

    def judge(self, name: str, request: Request) -> None:
        outcome, door = self.outcome(name, request)
        self.ledger.outcomes[name] = outcome
        self.ledger.counts[outcome] += 1
        self.ledger.by_door[door][outcome] += 1
        ask = request.asks[-1]
        if len(request.answers) > 1:
            self.note(name, "answered more than once", request.answers[0], request.answers[1])
        for answer in request.answers:
            late = answer.at_us > ask.until_us + self.ledger.slack_us and self.ledger.times_judged
            if late and not self.doors.excused(ask.door, ask.at_us, answer.at_us):
                self.note(name, "answered after the client's time", ask, answer)
            if answer.kind is Kind.SERVED and (answer.value, name) not in self.requests.made:
                self.note(name, "served with what no server made for it", ask, answer)
        if request.answers and self.ledger.times_judged:
            final = request.answers[0]
            for arrival in request.arrivals:
                if arrival.first_us > final.at_us + self.ledger.slack_us:
                    self.note(name, "sent on after its final answer", final, arrival)

    def outcome(self, name: str, request: Request) -> tuple[Outcome, str]:
        """What became of it, and at which front door."""
        ask = request.asks[-1]
        if request.answers:
            return OUTCOME_OF[request.answers[0].kind], request.answers[0].door
        gone = request.left
        ended = max((end.at_us for end in request.ends), default=gone.at_us if gone else ask.until_us)
        closing_us = 0 if ask.taken else CLOSING_US
        if self.doors.excused(ask.door, ask.at_us, ended + self.ledger.slack_us, closing_us):
            return Outcome.LOST_TO_KILL, ask.door
        if gone and gone.at_us <= ask.until_us:
            return Outcome.CLIENT_GONE, ask.door
        ends: list[Fact] = [*request.ends, *([gone] if gone else []), ask]
        last = ends[0]
        text = "taken and never answered" if ask.taken else "not taken by a front door that is up"
        self.note(name, text, ask, last)
        return Outcome.UNACCOUNTED, ask.door
