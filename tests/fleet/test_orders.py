"""Validation of orders and of their records."""

import pytest
from msgspec.structs import replace

from molereach.fleet import orders
from molereach.fleet.orders import Decided, OrderError, OrderStateRecord, Verb
from tests.fleet.orders import order


@pytest.mark.parametrize(
    "changes",
    [
        {"id": ""},
        {"id": "x" * 65},
        {"subject": "a\nb"},
        {"issuer": ""},
        {"reason": "r" * 257},
        {"based_on": -1},
        {"lapses_ms": -1},
    ],
)
def test_error_names_the_invalid_field_of_an_order(changes: dict[str, object]) -> None:
    order().check()
    with pytest.raises(OrderError, match=next(iter(changes))):
        replace(order(), **changes).check()


def test_inconsistent_record_is_rejected() -> None:
    first, second = Decided(1, order()), Decided(2, order("o2", subject="s2"))
    OrderStateRecord(2, (first, second), (first, second)).check()
    for invalid in (
        OrderStateRecord(-1),
        OrderStateRecord(1, (first, second)),
        OrderStateRecord(2, (second, first)),
        OrderStateRecord(2, (first, first)),
        OrderStateRecord(2, (Decided(2, order(verb=Verb.UNDRAIN)),)),
        OrderStateRecord(2, (), (Decided(0, order()),)),
        OrderStateRecord(
            1000, tuple(Decided(number, order()) for number in range(1, orders.MAX_IN_FORCE + 2))
        ),
    ):
        with pytest.raises(OrderError):
            invalid.check()
