"""The facts about each request by its id, and the values that servers returned for it."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from rig.facts import Answered, Arrived, Asked, Ended, Left, Ran, Repeat, TurnedAway

Event = Asked | Answered | Ended | Left | Arrived | TurnedAway | Ran | Repeat


@dataclass(slots=True)
class Request:
    """The facts about one request."""

    asks: list[Asked] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    ends: list[Ended] = field(default_factory=list)
    left: Left | None = None
    arrivals: list[Arrived] = field(default_factory=list)
    turned: list[TurnedAway] = field(default_factory=list)
    runs: list[Ran] = field(default_factory=list)

    def sort(self) -> None:
        """Sort the facts by time, as they may arrive in any order."""
        fact_lists: tuple[list[Any], ...] = (
            self.asks,
            self.answers,
            self.ends,
            self.arrivals,
            self.turned,
            self.runs,
        )
        for facts in fact_lists:
            facts.sort(key=lambda fact: (fact.at_us, str(fact)))


class Requests:
    """All requests, in the order of their first fact."""

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = defaultdict(Request)
        self.made: set[tuple[bytes, str]] = set()  # pairs of a value and the request it was returned for

    def take(self, fact: Event) -> None:
        """Store a fact."""
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

    def sent_by_clients(self) -> list[tuple[str, Request]]:
        """The requests that a client is known to have sent, with their ids."""
        return [(request_id, request) for request_id, request in self.by_id.items() if request.asks]
