"""Builders of orders, and of the state that a sequence of orders leads to."""

from molereach.fleet.order_state import OrderState
from molereach.fleet.orders import Decided, Order, Verb


def order(
    order_id: str = "o1",
    verb: Verb = Verb.DRAIN,
    subject: str = "s1",
    based_on: int = 0,
    lapses_ms: int = 0,
    forced: bool = False,
) -> Order:
    return Order(order_id, verb, subject, "duty", "replaced", based_on, lapses_ms, forced)


def state_of(*orders: Order) -> OrderState:
    state = OrderState()
    for revision, decided_order in enumerate(orders, 1):
        state.record_decided(Decided(revision, decided_order))
    return state
