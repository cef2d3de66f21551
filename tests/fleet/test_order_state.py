"""The replicated state of orders, and the validation of the next order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.fleet import order_state, orders
from molereach.fleet.order_state import OrderRejection, OrderState, RejectionReason
from molereach.fleet.orders import Decided, Order, Verb
from tests.fleet.orders import order, state_of

READY = {"s1": "east", "s2": "east", "s3": "west"}


def test_drain_is_in_force_until_it_is_reverted_or_lapses() -> None:
    state = state_of(order(), order("o2", subject="s2", lapses_ms=500), order("o3", Verb.HOLD, "n1"))
    assert state.active_subjects(Verb.DRAIN, 499) == {"s1", "s2"} and state.active_subjects(
        Verb.DRAIN, 500
    ) == {"s1"}
    assert state.active_subjects(Verb.HOLD, 0) == {"n1"}
    state.remove_lapsed(500)
    assert state.active_subjects(Verb.DRAIN, 499) == {"s1"}
    state.record_decided(Decided(4, order("o4", Verb.UNDRAIN)))
    state.record_decided(Decided(5, order("o5", Verb.RELEASE, "n1")))
    assert not state.active_subjects(Verb.DRAIN, 0) and not state.active_subjects(Verb.HOLD, 0)


def test_order_with_a_repeated_id_is_applied_once() -> None:
    state = state_of(order(), order("o2", Verb.UNDRAIN), order())
    # The repeated drain had no effect after the undrain.
    assert state.revision == 3 and not state.active_subjects(Verb.DRAIN, 0)
    assert state.validate(order(), 0, READY, 0) == Decided(1, order())


def test_conflict_names_the_winner() -> None:
    state = state_of(order(), order("o2", Verb.UNDRAIN, based_on=1))
    rejection = state.validate(order("o3", based_on=1), 0, READY, 0)
    assert isinstance(rejection, OrderRejection) and rejection.reason is RejectionReason.CONFLICT
    assert rejection.winner == Decided(2, order("o2", Verb.UNDRAIN, based_on=1))
    assert "duty" in rejection.text and "revision 2" in rejection.text and "replaced" in rejection.text
    assert state.validate(order("o3", based_on=2), 0, READY, 0) is None  # its issuer has seen the undrain
    assert state.validate(order("o3", subject="s2", based_on=0), 0, READY, 0) is None  # for another server
    # The verb of the latest order is the same.
    assert state.validate(order("o3", Verb.UNDRAIN, based_on=0), 0, READY, 0) is None


def test_drain_below_the_floor_of_a_building_is_rejected_unless_forced() -> None:
    state = state_of(order())
    rejection = state.validate(order("o2", subject="s2", based_on=1), 0, READY, 1)
    assert (
        isinstance(rejection, OrderRejection)
        and rejection.reason is RejectionReason.FLOOR
        and "east" in rejection.text
    )
    assert rejection.winner == Decided(1, order())
    assert state.validate(order("o2", subject="s2", based_on=1, forced=True), 0, READY, 1) is None
    assert state.validate(order("o2", subject="s2", based_on=1), 0, READY, 0) is None
    assert state.validate(order("o2", subject="gone", based_on=1), 0, READY, 1) is None
    assert isinstance(state.validate(order("o2", subject="s3"), 0, READY, 1), OrderRejection)
    other_building_drained = state_of(order(), order("o2", subject="s3", forced=True))
    rejection = other_building_drained.validate(order("o3", subject="s2", based_on=2), 0, READY, 1)
    assert isinstance(rejection, OrderRejection) and rejection.winner == Decided(1, order())
    lapsed_drain = state_of(order(lapses_ms=100))
    assert lapsed_drain.validate(order("o2", subject="s2", based_on=1), 100, READY, 1) is None


def test_lapsed_order_and_one_beyond_the_limit_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    lapsed = OrderState().validate(order(lapses_ms=5), 5, READY, 0)
    assert isinstance(lapsed, OrderRejection) and lapsed.reason is RejectionReason.LAPSED
    monkeypatch.setattr(order_state, "MAX_IN_FORCE", 1)
    beyond_limit = state_of(order()).validate(order("o2", subject="s2", based_on=1), 0, READY, 0)
    assert isinstance(beyond_limit, OrderRejection) and beyond_limit.reason is RejectionReason.FULL
    assert state_of(order()).validate(order("o2", Verb.UNDRAIN, based_on=1), 0, READY, 0) is None
    full = state_of(order(lapses_ms=50))
    assert full.validate(order("o2", subject="s2", based_on=1), 50, READY, 0) is None
    full.record_decided(Decided(2, order("o2", subject="s2", based_on=1)))
    assert full.active_subjects(Verb.DRAIN, 0) == {"s2"}  # the lapsed order was dropped


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
    """Delayed, duplicated or reordered, the same decided orders lead to the same state."""
    expected = state_of(*given_orders)
    arrivals = [Decided(revision, given) for revision, given in enumerate(given_orders, 1)] * 2
    random.shuffle(arrivals)  # type: ignore[attr-defined]
    state = OrderState()
    applied = [decided for arrival in arrivals for decided in state.record_decided(arrival)]
    assert [decided.revision for decided in applied] == list(range(1, len(given_orders) + 1))
    assert state.to_record() == expected.to_record()


def test_pending_and_recent_orders_are_bounded() -> None:
    state = OrderState()
    for revision in range(2, 10_000):
        state.record_decided(Decided(revision, order(f"o{revision}")))
    assert len(state.pending) == order_state.MAX_PENDING_ORDERS and state.revision == 0
    full = OrderState()
    for revision in range(1, 3000):
        full.record_decided(Decided(revision, order(f"o{revision}", subject=f"s{revision}")))
    assert len(full.recent) == orders.MAX_RECENT_REVISIONS and full.find("o2999") and not full.find("o2000")
    outdated = full.validate(order("late", Verb.UNDRAIN), 0, READY, 0)  # conflicts may be forgotten
    assert isinstance(outdated, OrderRejection) and outdated.reason is RejectionReason.CONFLICT
    full.to_record().check()


@given(ORDERS, st.integers(0, 12), st.integers(1, 3))
def test_adopting_a_record_is_equal_to_applying_all_orders(
    given_orders: list[Order], adopted_revision: int, max_recent: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(order_state, "MAX_RECENT_REVISIONS", max_recent)
        complete, adopting = OrderState(), OrderState()
        for revision, given in enumerate(given_orders, 1):
            complete.record_decided(Decided(revision, given))
            if revision == adopted_revision:
                assert adopting.adopt(complete.to_record()) and not adopting.adopt(complete.to_record())
            elif revision > adopted_revision:
                adopting.record_decided(Decided(revision, given))
        if adopted_revision and adopted_revision <= len(given_orders):
            assert adopting.to_record() == complete.to_record()
