"""Orders, the book of what was decided, and the list with orders over it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from molereach.fleet import order_state, orders
from molereach.fleet.order_state import OrderRejection, OrderState, RejectionReason
from molereach.fleet.orders import Decided, Order, OrderError, OrderStateRecord, Verb
from molereach.fleet.overlay import Overlay
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState

READY = {"s1": "east", "s2": "east", "s3": "west"}


def order(
    name: str = "o1",
    verb: Verb = Verb.DRAIN,
    subject: str = "s1",
    based_on: int = 0,
    lapses_ms: int = 0,
    forced: bool = False,
) -> Order:
    return Order(name, verb, subject, "duty", "replaced", based_on, lapses_ms, forced)


def book(*given_orders: Order) -> OrderState:
    made = OrderState()
    for revision, one in enumerate(given_orders, 1):
        made.record_decided(Decided(revision, one))
    return made


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


def test_drain_holds_until_it_is_taken_back_or_lapses() -> None:
    made = book(order(), order("o2", subject="s2", lapses_ms=500), order("o3", Verb.HOLD, "n1"))
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
    made = book(order(), order("o2", Verb.UNDRAIN), order())
    assert made.revision == 3 and not made.active_subjects(Verb.DRAIN, 0)  # the repeat did not drain it again
    assert made.validate(order(), 0, READY, 0) == Decided(1, order())


def test_loser_is_told_who_won() -> None:
    made = book(order(), order("o2", Verb.UNDRAIN, based_on=1))
    refusal = made.validate(order("o3", based_on=1), 0, READY, 0)
    assert isinstance(refusal, OrderRejection) and refusal.reason is RejectionReason.CONFLICT
    assert refusal.winner == Decided(2, order("o2", Verb.UNDRAIN, based_on=1))
    assert "duty" in refusal.text and "revision 2" in refusal.text and "replaced" in refusal.text
    assert made.validate(order("o3", based_on=2), 0, READY, 0) is None  # its issuer has seen it
    assert made.validate(order("o3", subject="s2", based_on=0), 0, READY, 0) is None  # about another server
    assert made.validate(order("o3", Verb.UNDRAIN, based_on=0), 0, READY, 0) is None  # both want the same


def test_drain_leaves_each_building_its_floor_unless_forced() -> None:
    made = book(order())
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
    west = book(order(), order("o2", subject="s3", forced=True))
    refusal = west.validate(order("o3", subject="s2", based_on=2), 0, READY, 1)
    assert isinstance(refusal, OrderRejection) and refusal.winner == Decided(1, order())
    lapsing = book(order(lapses_ms=100))
    assert lapsing.validate(order("o2", subject="s2", based_on=1), 100, READY, 1) is None


def test_lapsed_order_and_too_many_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    late = OrderState().validate(order(lapses_ms=5), 5, READY, 0)
    assert isinstance(late, OrderRejection) and late.reason is RejectionReason.LAPSED
    monkeypatch.setattr(order_state, "MAX_IN_FORCE", 1)
    full = book(order()).validate(order("o2", subject="s2", based_on=1), 0, READY, 0)
    assert isinstance(full, OrderRejection) and full.reason is RejectionReason.FULL
    assert book(order()).validate(order("o2", Verb.UNDRAIN, based_on=1), 0, READY, 0) is None
    full = book(order(lapses_ms=50))
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
def test_book_is_the_same_however_its_orders_come(given_orders: list[Order], random: object) -> None:
    """Late, doubled and in any order: the same revisions make the same book."""
    first = book(*given_orders)
    decided = [Decided(revision, one) for revision, one in enumerate(given_orders, 1)] * 2
    random.shuffle(decided)  # type: ignore[attr-defined]
    second = OrderState()
    entered = [one for each in decided for one in second.record_decided(each)]
    assert [one.revision for one in entered] == list(range(1, len(given_orders) + 1))
    assert second.to_record() == first.to_record()


def test_what_waits_and_what_is_remembered_is_bounded() -> None:
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
def test_book_goes_on_from_another_ones_state_as_if_it_had_learned_all(
    given_orders: list[Order], at: int, recent: int
) -> None:
    with pytest.MonkeyPatch.context() as small:
        small.setattr(order_state, "MAX_RECENT_REVISIONS", recent)
        whole, late = OrderState(), OrderState()
        for revision, one in enumerate(given_orders, 1):
            whole.record_decided(Decided(revision, one))
            if revision == at:
                assert late.adopt(whole.to_record()) and not late.adopt(whole.to_record())
            elif revision > at:
                late.record_decided(Decided(revision, one))
        if at and at <= len(given_orders):
            assert late.to_record() == whole.to_record()


def test_state_that_no_book_can_have_is_refused() -> None:
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


# --- the list with orders over it ---


def server(name: str, state: EndpointState = EndpointState.UP) -> Endpoint:
    return Endpoint(name, 0, 0, 0, state)


def states(news: EndpointListReceived | None) -> dict[str, EndpointState]:
    return {one.name: one.state for one in news.endpoints} if news else {}


def test_module_sees_a_drained_server_as_draining_and_nothing_added() -> None:
    overlay = Overlay()
    full = EndpointListReceived(
        EndpointListKind.FULL, 4, (server("s1"), server("s2", EndpointState.DRAINING))
    )
    assert overlay.on_endpoint_list(full) == full
    changes = overlay.on_drained_servers({"s1", "s2", "unheard"})
    assert states(changes) == {"s1": EndpointState.DRAINING} and changes and changes.version == 4
    assert overlay.on_drained_servers({"s1", "s2", "unheard"}) is None
    again = overlay.on_endpoint_list(
        EndpointListReceived(EndpointListKind.CHANGES, 5, (server("s1"), server("s3")))
    )
    assert states(again) == {"s1": EndpointState.DRAINING, "s3": EndpointState.UP}
    assert states(overlay.on_drained_servers(())) == {
        "s1": EndpointState.UP
    }  # and s2 stays as discovery has it


def test_drain_waits_for_a_server_that_is_not_listed_yet() -> None:
    overlay = Overlay()
    assert overlay.on_drained_servers({"s1"}) is None
    first = overlay.on_endpoint_list(EndpointListReceived(EndpointListKind.FULL, 1, (server("s1"),)))
    assert states(first) == {"s1": EndpointState.DRAINING}  # before any request could reach it


def test_server_that_is_listed_no_more_is_not_told_of() -> None:
    overlay = Overlay()
    overlay.on_endpoint_list(EndpointListReceived(EndpointListKind.FULL, 1, (server("s1"), server("s2"))))
    overlay.on_endpoint_list(EndpointListReceived(EndpointListKind.FULL, 2, (server("s2"),)))
    assert overlay.on_drained_servers({"s1"}) is None


STATES = st.sampled_from(list(EndpointState))
NAMES = st.sampled_from(["s1", "s2", "s3"])
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(
                [
                    EndpointListKind.FULL,
                    EndpointListKind.CHANGES,
                    EndpointListKind.SAVED,
                    EndpointListKind.FAILED,
                ]
            ),
            st.dictionaries(NAMES, STATES),
        ),
        st.frozensets(NAMES),
    ),
    max_size=30,
)


@given(STEPS)
def test_module_never_sees_more_than_discovery_and_orders_allow(
    steps: list[tuple[EndpointListKind, dict[str, EndpointState]] | frozenset[str]],
) -> None:
    overlay = Overlay()
    listed: dict[str, EndpointState] = {}
    seen: dict[str, EndpointState] = {}
    drained: frozenset[str] = frozenset()
    for step in steps:
        if isinstance(step, frozenset):
            drained, news = step, overlay.on_drained_servers(step)
        else:
            kind, entries = step
            entries = {} if kind is EndpointListKind.FAILED else entries
            listed = entries if kind in (EndpointListKind.FULL, EndpointListKind.SAVED) else listed | entries
            news = overlay.on_endpoint_list(
                EndpointListReceived(kind, 1, tuple(server(name, state) for name, state in entries.items()))
            )
            if kind in (EndpointListKind.FULL, EndpointListKind.SAVED):
                seen = {}
        seen |= states(news)
        for name in ("s1", "s2", "s3"):
            up = listed.get(name) is EndpointState.UP and name not in drained
            assert (seen.get(name) is EndpointState.UP) == up
            if name in listed and listed[name] is not EndpointState.UP:
                assert seen[name] is listed[name]  # discovery's own word on what is not up goes through


def test_orders_over_a_view_say_how_many_share_its_servers() -> None:
    overlay, one = Overlay(), Endpoint("s0", 0, 0, 0, EndpointState.UP)
    overlay.on_endpoint_list(EndpointListReceived(EndpointListKind.FULL, 4, (one,), sharing_proxies=21))
    news = overlay.on_drained_servers({"s0"})
    assert news is not None and news.sharing_proxies == 21 and news.version == 4
