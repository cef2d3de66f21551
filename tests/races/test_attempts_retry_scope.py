"""Where a keyed request may be repeated: in the group of its first attempt, as that stood then."""

from dataclasses import replace

import pytest

from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject
from molereach.policy.interface.events import AttemptResult, EndpointListKind, EndpointListReceived
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass
from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS, GatewayDriver, endpoints, of_type

FLEET = endpoints(4)  # s0 and s2 in zone 0, s0 and s1 in cell 0
KEYED = RequestClass(
    2 * SECOND_US,
    6 * SECOND_US,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_window_us=3 * SECOND_US,
)


def sent(world: GatewayDriver) -> list[str]:
    return [action.endpoint for _, action in world.log if isinstance(action, ForwardAttempt)]


@pytest.mark.parametrize(
    ("group", "moved", "only"),
    [(DeduplicationScope.ZONE, {"zone": 1}, "s2"), (DeduplicationScope.CELL, {"cell": 1}, "s1")],
)
@pytest.mark.parametrize("restarted", [False, True])
def test_repeat_stays_in_the_group_that_the_first_server_was_in(
    group: DeduplicationScope, moved: dict[str, int], only: str, restarted: bool
) -> None:
    """Its entry changes while the attempt is out: what it did is known where it was."""
    world = GatewayDriver(replace(SETTINGS, classes=(replace(KEYED, deduplication_scope=group),)), FLEET[:1])
    world.send_request("a")
    assert sent(world) == ["s0"]
    first = replace(FLEET[0], started_us=int(restarted), **moved)
    world.handle(EndpointListReceived(EndpointListKind.FULL, 2, (first, *FLEET[1:])))
    world.advance(10 * MILLISECOND_US)
    world.end_attempt("a", AttemptResult.RESET)
    assert sent(world) == ["s0", only]


def test_no_repeat_where_the_group_has_no_other_server_by_then() -> None:
    world = GatewayDriver(
        replace(SETTINGS, classes=(replace(KEYED, deduplication_scope=DeduplicationScope.ZONE),)), FLEET[:1]
    )
    world.send_request("a")
    world.handle(EndpointListReceived(EndpointListKind.FULL, 2, (replace(FLEET[0], zone=1), FLEET[1])))
    assert of_type(FailRequest, world.end_attempt("a", AttemptResult.RESET)) and sent(world) == ["s0"]


@pytest.mark.parametrize(
    ("first", "second", "more"),
    [
        ([AttemptResult.CONNECT_FAILED], AttemptResult.RESET, 0),
        ([AttemptResult.REJECTED], AttemptResult.TIMEOUT, 0),
        ([AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED], AttemptResult.CONNECT_FAILED, 1),
        ([], AttemptResult.RESET, 0),
        ([], AttemptResult.TIMEOUT, 0),
        ([], AttemptResult.ERROR, 0),
        ([], AttemptResult.MALFORMED, 0),
    ],
)
def test_unsafe_request_is_never_sent_again_once_in_doubt(
    first: list[AttemptResult], second: AttemptResult, more: int
) -> None:
    unsafe = RequestClass(2 * SECOND_US, 6 * SECOND_US, idempotency=Idempotency.NON_IDEMPOTENT)
    world = GatewayDriver(replace(SETTINGS, classes=(unsafe,), max_attempts=9), FLEET)
    world.send_request("a")
    for number, result in enumerate([*first, second]):
        world.end_attempt("a", result, number)
    world.advance(5 * SECOND_US)
    assert len(sent(world)) == len(first) + 1 + more
    assert len(of_type(Reject, [action for _, action in world.log])) == 0
    assert len(of_type(FailRequest, [action for _, action in world.log])) == 1 - more or more
