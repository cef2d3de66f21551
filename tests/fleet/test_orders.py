"""Orders and records of them: what is not valid."""

import pytest
from msgspec.structs import replace

from molereach.fleet import orders
from molereach.fleet.orders import Decided, OrderError, OrderStateRecord, Verb
from tests.fleet.orders import order


@pytest.mark.parametrize(
    "wrong",
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
def test_unusable_order_is_named(wrong: dict[str, object]) -> None:
    order().check()
    with pytest.raises(OrderError, match=next(iter(wrong))):
        replace(order(), **wrong).check()


def test_impossible_record_is_rejected() -> None:
    one, two = Decided(1, order()), Decided(2, order("o2", subject="s2"))
    OrderStateRecord(2, (one, two), (one, two)).check()
    for wrong in (
        OrderStateRecord(-1),
        OrderStateRecord(1, (one, two)),
        OrderStateRecord(2, (two, one)),
        OrderStateRecord(2, (one, one)),
        OrderStateRecord(2, (Decided(2, order(verb=Verb.UNDRAIN)),)),
        OrderStateRecord(2, (), (Decided(0, order()),)),
        OrderStateRecord(1000, tuple(Decided(n, order()) for n in range(1, orders.MAX_IN_FORCE + 2))),
    ):
        with pytest.raises(OrderError):
            wrong.check()
