"""Validates the order of a rollout against the newest replicated state that any agent has reported."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from molereach.fleet.api_bodies import AgentSnapshot
from molereach.fleet.order_state import OrderRejection, OrderState, RejectionReason
from molereach.fleet.orders import Decided, Order
from molereach.fleet.rollout.events import Draft
from molereach.fleet.rollout.report import Verdict


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why an order must not be proposed; `winner` is the decided order that prevents it, if there is one."""

    verdict: Verdict
    text: str
    winner: Decided | None = None


@dataclass(slots=True)
class Validation:
    """The newest known state, and the order.

    `floor` is the number of ready servers that a drain must leave in each building. The order is built once
    and is the same for all tries, so that its `based_on` remains the revision that the issuer saw.
    """

    draft: Draft
    floor: int
    order_state: OrderState = field(default_factory=OrderState)
    built_order: Order | None = None

    def adopt(self, snapshots: Mapping[str, AgentSnapshot]) -> None:
        """Adopt the newest state of all snapshots."""
        for snapshot in snapshots.values():
            self.order_state.adopt(snapshot.order_state)

    def build_order(self) -> Order:
        """Return the order; the first call bases it on the current revision, unless the draft names one."""
        if self.built_order is None:
            draft = self.draft
            based_on = draft.based_on if draft.based_on is not None else self.order_state.revision
            self.built_order = Order(
                draft.id,
                draft.verb,
                draft.subject,
                draft.issuer,
                draft.reason,
                based_on,
                draft.lapses_ms,
                draft.forced,
            )
        return self.built_order

    def validate(self, unix_ms: int, ready_servers: dict[str, str]) -> Rejection | Decided | None:
        """Return a rejection, the decided order with the same id, or None if the order may be proposed."""
        result = self.order_state.validate(self.build_order(), unix_ms, ready_servers, self.floor)
        if isinstance(result, OrderRejection):
            verdict = (
                Verdict.CONFLICT
                if result.reason is RejectionReason.CONFLICT or result.winner
                else Verdict.REJECTED
            )
            return Rejection(verdict, result.text, result.winner)
        return result

    def describe_id_reuse(self, decided: Decided) -> str:
        """Return how a decided order with the same id differs in verb or subject, or '' if it does not."""
        order = self.build_order()
        if (decided.order.verb, decided.order.subject) == (order.verb, order.subject):
            return ""
        return f"the id {order.id} is of another order: {decided.order.verb.value} {decided.order.subject}"

    def record_decided(self, decided: Decided | None) -> None:
        """Add a decided order to the state, if there is one."""
        if decided:
            self.order_state.record_decided(decided)
