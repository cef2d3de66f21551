"""The facts about each request, by its id, and what servers made for each."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from rig.facts import Answered, Arrived, Asked, Ended, Left, Ran, Repeat, TurnedAway

Event = Asked | Answered | Ended | Left | Arrived | TurnedAway | Ran | Repeat


@dataclass(slots=True)
class Request:
    """The facts about one request id."""

    asks: list[Asked] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    ends: list[Ended] = field(default_factory=list)
    left: Left | None = None
    arrivals: list[Arrived] = field(default_factory=list)
    turned: list[TurnedAway] = field(default_factory=list)
    runs: list[Ran] = field(default_factory=list)

    def sort(self) -> None:
        """Journals come in any order; what happened first is judged first."""
        journals: tuple[list[Any], ...] = (
            self.asks,
            self.answers,
            self.ends,
            self.arrivals,
            self.turned,
            self.runs,
        )
        for facts in journals:
            facts.sort(key=lambda fact: (fact.at_us, str(fact)))


class Requests:
    """All requests, in the order in which they were first heard of."""

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = defaultdict(Request)
        self.made: set[tuple[bytes, str]] = set()  # values, and the requests that they were given for

    def take(self, fact: Event) -> None:
        match fact:
            case Asked():
                self.by_id[fact.id].asks.append(fact)
            case Answered():
                self.by_id[fact.id].answers.append(fact)
            case Ended():
                self.by_id[fact.id].ends.append(fact)
            case Left():
                self.by_id[fact.id].left = fact
            case Arrived():
                self.by_id[fact.id].arrivals.append(fact)
            case TurnedAway():
                self.by_id[fact.id].turned.append(fact)
            case Ran():
                self.by_id[fact.id].runs.append(fact)
                self.made.add((fact.value, fact.id))
            case Repeat():
                self.made.add((fact.value, fact.id))

    def asked(self) -> list[tuple[str, Request]]:
        """Those that a client sent; of others only their traces are known."""
        return [(name, request) for name, request in self.by_id.items() if request.asks]
