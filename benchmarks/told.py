"""What one front door's own routing does when a zone is lost: entries touched, events until it is full."""

from collections.abc import Sequence
from dataclasses import replace

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointState
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting

SIZE = 256  # of a view
LOST_ZONE = 3
KEYED = RequestClass(
    1,
    3,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_us=1,
)


def zone_told(servers: Sequence[Endpoint], doors: int, cells: bool) -> tuple[int, int]:
    """Entries touched by the loss, and events after it until full."""
    settings = Settings(1, 0, doors, (KEYED,) if cells else (), ())
    routing = EndpointSubsetting(settings, SIZE, 2 * len(servers))
    take(routing, EndpointListKind.FULL, servers)
    start = routing.index.ring.examined
    lost = [each for each in servers if each.zone == LOST_ZONE]
    take(routing, EndpointListKind.CHANGES, [replace(each, state=EndpointState.REMOVED) for each in lost])
    touched = routing.index.ring.examined - start
    told = routing.reported if routing.short_list is None else routing.short_list
    left = len(servers) - len(lost)
    is_full = len(told) >= min(SIZE, left) if routing.short_list is None else len(told) == left
    return touched, 0 if is_full else 1


def take(routing: EndpointSubsetting, kind: EndpointListKind, servers: Sequence[Endpoint]) -> None:
    """As an object that came in parts."""
    staged = routing.stage()
    staged.add(servers, {each.name: ("10.0.0.1", 80) for each in servers})
    for _ in routing.take_over(staged, kind, 1):
        pass
