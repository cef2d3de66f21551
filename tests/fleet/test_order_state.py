"""The replicated state of orders, and what may be proposed next."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.fleet import order_state, orders
from molereach.fleet.order_state import OrderRejection, OrderState, RejectionReason
from molereach.fleet.orders import Decided, Order, Verb
from tests.fleet.orders import order, state_of

READY = {"s1": "east", "s2": "east", "s3": "west"}


def test_drain_is_in_force_until_it_is_reverted_or_lapses() -> None:
    made = state_of(order(), order("o2", subject="s2", lapses_ms=500), order("o3", Verb.HOLD, "n1"))
    assert made.active_subjects(Verb.DRAIN, 499) == {"s1", "s2"} and made.active_subjects(
        Verb.DRAIN, 500
    ) == {"s1"}
    assert made.active_subjects(Verb.HOLD, 0) == {"n1"}
    made.remove_lapsed(500)
    assert made.active_subjects(Verb.DRAIN, 499) == {"s1"}
    made.record_decided(Decided(4, order("o4", Verb.UNDRAIN)))
    made.record_decided(Decided(5, order("o5", Verb.RELEASE, "n1")))
    assert not made.active_subjects(Verb.DRAIN, 0) and not made.active_subjects(Verb.HOLD, 0)


def test_order_given_twice_is_one() -> None:
    made = state_of(order(), order("o2", Verb.UNDRAIN), order())
    assert made.revision == 3 and not made.active_subjects(Verb.DRAIN, 0)  # the repeat did not drain it later
    assert made.validate(order(), 0, READY, 0) == Decided(1, order())


def test_rejection_names_the_winner() -> None:
    made = state_of(order(), order("o2", Verb.UNDRAIN, based_on=1))
    refusal = made.validate(order("o3", based_on=1), 0, READY, 0)
    assert isinstance(refusal, OrderRejection) and refusal.reason is RejectionReason.CONFLICT
    assert refusal.winner == Decided(2, order("o2", Verb.UNDRAIN, based_on=1))
    assert "duty" in refusal.text and "revision 2" in refusal.text and "replaced" in refusal.text
    assert made.validate(order("o3", based_on=2), 0, READY, 0) is None  # its issuer has visible it
    assert made.validate(order("o3", subject="s2", based_on=0), 0, READY, 0) is None  # about another server
    assert made.validate(order("o3", Verb.UNDRAIN, based_on=0), 0, READY, 0) is None  # both want the same


def test_drain_preserves_the_floor_of_each_building_unless_forced() -> None:
    made = state_of(order())
    refusal = made.validate(order("o2", subject="s2", based_on=1), 0, READY, 1)
    assert (
        isinstance(refusal, OrderRejection)
        and refusal.reason is RejectionReason.FLOOR
        and "east" in refusal.text
    )
    assert refusal.winner == Decided(1, order())
    assert made.validate(order("o2", subject="s2", based_on=1, forced=True), 0, READY, 1) is None
    assert made.validate(order("o2", subject="s2", based_on=1), 0, READY, 0) is None
    assert made.validate(order("o2", subject="gone", based_on=1), 0, READY, 1) is None
    assert isinstance(made.validate(order("o2", subject="s3"), 0, READY, 1), OrderRejection)
    west = state_of(order(), order("o2", subject="s3", forced=True))
    refusal = west.validate(order("o3", subject="s2", based_on=2), 0, READY, 1)
    assert isinstance(refusal, OrderRejection) and refusal.winner == Decided(1, order())
    lapsing = state_of(order(lapses_ms=100))
    assert lapsing.validate(order("o2", subject="s2", based_on=1), 100, READY, 1) is None


def test_lapsed_order_and_too_many_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    late = OrderState().validate(order(lapses_ms=5), 5, READY, 0)
    assert isinstance(late, OrderRejection) and late.reason is RejectionReason.LAPSED
    monkeypatch.setattr(order_state, "MAX_IN_FORCE", 1)
    full = state_of(order()).validate(order("o2", subject="s2", based_on=1), 0, READY, 0)
    assert isinstance(full, OrderRejection) and full.reason is RejectionReason.FULL
    assert state_of(order()).validate(order("o2", Verb.UNDRAIN, based_on=1), 0, READY, 0) is None
    full = state_of(order(lapses_ms=50))
    assert full.validate(order("o2", subject="s2", based_on=1), 50, READY, 0) is None
    full.record_decided(Decided(2, order("o2", subject="s2", based_on=1)))
    assert full.active_subjects(Verb.DRAIN, 0) == {"s2"}  # what has lapsed gave way


ORDERS = st.lists(
    st.builds(
        order,
        st.sampled_from([f"o{number}" for number in range(12)]),
        st.sampled_from(list(Verb)),
        st.sampled_from(["s1", "s2", "n1"]),
    ),
    max_size=12,
)


@given(ORDERS, st.randoms(use_true_random=False))
def test_state_does_not_depend_on_the_sequence_of_arrival(given_orders: list[Order], random: object) -> None:
    """Late, doubled and in any order: the same revisions make the same state_of."""
    first = state_of(*given_orders)
    decided = [Decided(revision, one) for revision, one in enumerate(given_orders, 1)] * 2
    random.shuffle(decided)  # type: ignore[attr-defined]
    second = OrderState()
    entered = [one for each in decided for one in second.record_decided(each)]
    assert [one.revision for one in entered] == list(range(1, len(given_orders) + 1))
    assert second.to_record() == first.to_record()


def test_pending_and_remembered_orders_are_bounded() -> None:
    made = OrderState()
    for revision in range(2, 10_000):
        made.record_decided(Decided(revision, order(f"o{revision}")))
    assert len(made.pending) == order_state.MAX_PENDING_ORDERS and made.revision == 0
    long = OrderState()
    for revision in range(1, 3000):
        long.record_decided(Decided(revision, order(f"o{revision}", subject=f"s{revision}")))
    assert len(long.recent) == orders.MAX_RECENT_REVISIONS and long.find("o2999") and not long.find("o2000")
    late = long.validate(order("late", Verb.UNDRAIN), 0, READY, 0)  # nobody knows what it did not see
    assert isinstance(late, OrderRejection) and late.reason is RejectionReason.CONFLICT
    long.to_record().check()


@given(ORDERS, st.integers(0, 12), st.integers(1, 3))
def test_adopted_record_is_equal_to_applying_all_orders(
    given_orders: list[Order], at: int, recent: int
) -> None:
    with pytest.MonkeyPatch.context() as small:
        small.setattr(order_state, "MAX_RECENT_REVISIONS", recent)
        complete, late = OrderState(), OrderState()
        for revision, one in enumerate(given_orders, 1):
            complete.record_decided(Decided(revision, one))
            if revision == at:
                assert late.adopt(complete.to_record()) and not late.adopt(complete.to_record())
            elif revision > at:
                late.record_decided(Decided(revision, one))
        if at and at <= len(given_orders):
            assert late.to_record() == complete.to_record()
