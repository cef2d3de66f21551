"""Builders of orders and of the state after them."""

from molereach.fleet.order_state import OrderState
from molereach.fleet.orders import Decided, Order, Verb


def order(
    name: str = "o1",
    verb: Verb = Verb.DRAIN,
    subject: str = "s1",
    based_on: int = 0,
    lapses_ms: int = 0,
    forced: bool = False,
) -> Order:
    return Order(name, verb, subject, "duty", "replaced", based_on, lapses_ms, forced)


def state_of(*given_orders: Order) -> OrderState:
    made = OrderState()
    for revision, one in enumerate(given_orders, 1):
        made.record_decided(Decided(revision, one))
    return made
