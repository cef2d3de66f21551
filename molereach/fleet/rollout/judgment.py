"""The order that is given, judged against the furthest book that was seen."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from molereach.fleet.api_bodies import View
from molereach.fleet.orders import Book, Decided, Order, Refusal, Why
from molereach.fleet.rollout.events import Draft
from molereach.fleet.rollout.report import Verdict


@dataclass(frozen=True, slots=True)
class Lost:
    """How it ends where the order is not to stand."""

    verdict: Verdict
    text: str
    winner: Decided | None = None


@dataclass(slots=True)
class Judgment:
    """What is known of the book, and the order, which once made stays the same for all tries."""

    draft: Draft
    floor: int  # of ready servers in a building
    book: Book = field(default_factory=Book)
    order: Order | None = None

    def adopt(self, views: Mapping[str, View]) -> None:
        for view in views.values():
            self.book.adopt(view.book)

    def made(self) -> Order:
        """The order; at the first time it is based on what stands then, where the draft says nothing else."""
        if self.order is None:
            draft = self.draft
            based_on = draft.based_on if draft.based_on is not None else self.book.revision
            self.order = Order(
                draft.id,
                draft.verb,
                draft.subject,
                draft.issuer,
                draft.reason,
                based_on,
                draft.lapses_ms,
                draft.forced,
            )
        return self.order

    def judge(self, wall_ms: int, ready: dict[str, str]) -> Lost | Decided | None:
        """`Decided`: it stands already. None: nothing is in its way."""
        found = self.book.judge(self.made(), wall_ms, ready, self.floor)
        if isinstance(found, Refusal):
            verdict = Verdict.CONFLICT if found.why is Why.CONFLICT or found.winner else Verdict.REFUSED
            return Lost(verdict, found.text, found.winner)
        return found

    def other(self, found: Decided) -> str:
        """What stands under the order's id, if that is another order; '' if it is this one."""
        order = self.made()
        if (found.order.verb, found.order.subject) == (order.verb, order.subject):
            return ""
        return f"the id {order.id} is of another order: {found.order.verb.value} {found.order.subject}"

    def learn(self, decided: Decided | None) -> None:
        if decided:
            self.book.learn(decided)
