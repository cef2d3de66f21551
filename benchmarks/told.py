"""What losing a zone costs one proxy's endpoint subsetting: entries examined, events until it is full."""

from collections.abc import Sequence
from dataclasses import replace

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointState
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting

SUBSET_SIZE = 256  # endpoints of a subset
LOST_ZONE = 3
KEYED = RequestClass(
    1,
    3,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_us=1,
)


def zone_loss_cost(servers: Sequence[Endpoint], doors: int, cells: bool) -> tuple[int, int]:
    """Return the entries examined for the loss of a zone, and the further events until the subset is full."""
    settings = Settings(1, 0, doors, (KEYED,) if cells else (), ())
    routing = EndpointSubsetting(settings, SUBSET_SIZE, 2 * len(servers))
    apply_endpoints(routing, EndpointListKind.FULL, servers)
    examined_before = routing.index.ring.examined
    lost = [endpoint for endpoint in servers if endpoint.zone == LOST_ZONE]
    apply_endpoints(
        routing,
        EndpointListKind.CHANGES,
        [replace(endpoint, state=EndpointState.REMOVED) for endpoint in lost],
    )
    examined = routing.index.ring.examined - examined_before
    reported = routing.reported if routing.short_list is None else routing.short_list
    remaining_count = len(servers) - len(lost)
    is_full = (
        len(reported) >= min(SUBSET_SIZE, remaining_count)
        if routing.short_list is None
        else len(reported) == remaining_count
    )
    return examined, 0 if is_full else 1


def apply_endpoints(routing: EndpointSubsetting, kind: EndpointListKind, servers: Sequence[Endpoint]) -> None:
    """Apply an endpoint list as if it had been received in parts."""
    staged = routing.stage()
    staged.add(servers, {endpoint.name: ("10.0.0.1", 80) for endpoint in servers})
    for _ in routing.take_over(staged, kind, 1):
        pass
