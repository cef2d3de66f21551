"""Drains over discovery's list of servers."""

from hypothesis import given
from hypothesis import strategies as st

from molereach.fleet.overlay import Overlay
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState


def server(name: str, state: EndpointState = EndpointState.UP) -> Endpoint:
    return Endpoint(name, 0, 0, 0, state)


def states(event: EndpointListReceived | None) -> dict[str, EndpointState]:
    return {one.name: one.state for one in event.endpoints} if event else {}


def test_drained_server_is_seen_as_draining_and_nothing_is_added() -> None:
    overlay = Overlay()
    full = EndpointListReceived(
        EndpointListKind.FULL, 4, (server("s1"), server("s2", EndpointState.DRAINING))
    )
    assert overlay.on_endpoint_list(full) == full
    changes = overlay.on_drained_servers({"s1", "s2", "unheard"})
    assert states(changes) == {"s1": EndpointState.DRAINING} and changes and changes.version == 4
    assert overlay.on_drained_servers({"s1", "s2", "unheard"}) is None
    later = overlay.on_endpoint_list(
        EndpointListReceived(EndpointListKind.CHANGES, 5, (server("s1"), server("s3")))
    )
    assert states(later) == {"s1": EndpointState.DRAINING, "s3": EndpointState.UP}
    assert states(overlay.on_drained_servers(())) == {
        "s1": EndpointState.UP
    }  # and s2 stays as discovery has it


def test_drain_waits_for_a_server_that_is_not_listed_yet() -> None:
    overlay = Overlay()
    assert overlay.on_drained_servers({"s1"}) is None
    first = overlay.on_endpoint_list(EndpointListReceived(EndpointListKind.FULL, 1, (server("s1"),)))
    assert states(first) == {"s1": EndpointState.DRAINING}  # before any request could reach it


def test_change_of_an_unlisted_server_is_not_reported() -> None:
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
    visible: dict[str, EndpointState] = {}
    drained: frozenset[str] = frozenset()
    for step in steps:
        if isinstance(step, frozenset):
            drained, event = step, overlay.on_drained_servers(step)
        else:
            kind, entries = step
            entries = {} if kind is EndpointListKind.FAILED else entries
            listed = entries if kind in (EndpointListKind.FULL, EndpointListKind.SAVED) else listed | entries
            event = overlay.on_endpoint_list(
                EndpointListReceived(kind, 1, tuple(server(name, state) for name, state in entries.items()))
            )
            if kind in (EndpointListKind.FULL, EndpointListKind.SAVED):
                visible = {}
        visible |= states(event)
        for name in ("s1", "s2", "s3"):
            up = listed.get(name) is EndpointState.UP and name not in drained
            assert (visible.get(name) is EndpointState.UP) == up
            if name in listed and listed[name] is not EndpointState.UP:
                assert visible[name] is listed[name]  # discovery's own word on what is not up goes through


def test_overlay_reports_the_number_of_sharing_proxies() -> None:
    overlay, one = Overlay(), Endpoint("s0", 0, 0, 0, EndpointState.UP)
    overlay.on_endpoint_list(EndpointListReceived(EndpointListKind.FULL, 4, (one,), sharing_proxies=21))
    event = overlay.on_drained_servers({"s0"})
    assert event is not None and event.sharing_proxies == 21 and event.version == 4
