"""Drains of orders, applied to discovery's list of servers."""

from hypothesis import given
from hypothesis import strategies as st

from molereach.fleet.overlay import Overlay
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState


def server(name: str, state: EndpointState = EndpointState.UP) -> Endpoint:
    return Endpoint(name, 0, 0, 0, state)


def states(event: EndpointListReceived | None) -> dict[str, EndpointState]:
    return {endpoint.name: endpoint.state for endpoint in event.endpoints} if event else {}


def test_drained_server_is_draining_and_no_server_is_added() -> None:
    overlay = Overlay()
    full = EndpointListReceived(
        EndpointListKind.FULL, 4, (server("s1"), server("s2", EndpointState.DRAINING))
    )
    assert overlay.on_endpoint_list(full) == full
    changes = overlay.on_drained_servers({"s1", "s2", "unlisted"})
    assert states(changes) == {"s1": EndpointState.DRAINING} and changes and changes.version == 4
    assert overlay.on_drained_servers({"s1", "s2", "unlisted"}) is None
    later = overlay.on_endpoint_list(
        EndpointListReceived(EndpointListKind.CHANGES, 5, (server("s1"), server("s3")))
    )
    assert states(later) == {"s1": EndpointState.DRAINING, "s3": EndpointState.UP}
    # s2 remains as discovery lists it.
    assert states(overlay.on_drained_servers(())) == {"s1": EndpointState.UP}


def test_drain_applies_to_a_server_that_is_listed_later() -> None:
    overlay = Overlay()
    assert overlay.on_drained_servers({"s1"}) is None
    first = overlay.on_endpoint_list(EndpointListReceived(EndpointListKind.FULL, 1, (server("s1"),)))
    assert states(first) == {"s1": EndpointState.DRAINING}  # so no request is sent to it first


def test_drain_of_a_server_no_longer_listed_is_not_reported() -> None:
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
def test_decision_module_sees_a_server_as_up_only_if_listed_and_not_drained(
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
                assert visible[name] is listed[name]  # other states are passed on unchanged


def test_overlay_reports_the_number_of_sharing_proxies() -> None:
    overlay, endpoint = Overlay(), Endpoint("s0", 0, 0, 0, EndpointState.UP)
    overlay.on_endpoint_list(EndpointListReceived(EndpointListKind.FULL, 4, (endpoint,), sharing_proxies=21))
    event = overlay.on_drained_servers({"s0"})
    assert event is not None and event.sharing_proxies == 21 and event.version == 4
