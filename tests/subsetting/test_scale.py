"""What a change, a choice and a period cost does not grow with the list: entries and steps counted, no times.

Each is seen to fail with a linear walk put in; which, is said in docs/design/view.md.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import cache
from random import Random

import pytest

from molereach.policy.interface.events import (
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    RequestReceived,
)
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import DeduplicationScope
from molereach.policy.load_balancing import CANDIDATE_COUNT, LoadBalancer
from molereach.policy.pending_request import PendingRequest
from molereach.policy.quota import CustomerAccount
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting
from molereach.subsetting.interface import SubsetUpdate
from molereach.subsetting.staging import entry_of
from molereach.subsetting.subset import Subset
from tests.helpers import IDEMPOTENT, PLAN
from tests.subsetting.line_count import steps_of
from tests.subsetting.model import DRAINING, GONE, NOW, SECOND_US, addresses_of, server, settings_of

SIZES = (1_000, 10_000, 50_000)
SIZE, STANDINS_MOST = 64, 4  # of the view; what the stand-ins of the last one may add
SETTINGS = settings_of(me=3, doors=7_500, groups=(DeduplicationScope.CELL,))
MOST_GROWTH = 1.25  # from 1,000 to 50,000 entries: chance of buckets, far from the 50 of a walk
CHANGES, FULL = EndpointListKind.CHANGES, EndpointListKind.FULL


def entry(number: int, count: int) -> Endpoint:
    return server(number, cells=count // 32, zones=26)  # as 93,000 in 2,900 cells


@cache
def long(count: int) -> tuple[EndpointSubsetting, SubsetUpdate]:
    """One list of each size for all tests, which leave it as it was."""
    routing = EndpointSubsetting(SETTINGS, SIZE, 2 * count)
    staged = routing.stage()
    for number in range(count):
        each = entry(number, count)
        staged.append(entry_of(each, ("h", 80)))
    steps = routing.take_over(staged, FULL, 1)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return routing, done.value


def learn(routing: EndpointSubsetting, servers: list[Endpoint]) -> SubsetUpdate | None:
    return routing.apply(EndpointListReceived(CHANGES, 2, tuple(servers)), addresses_of(servers))


def costs(call: Callable[[EndpointSubsetting, int], object]) -> tuple[list[int], list[int]]:
    """Entries touched and steps taken, by the size of the list."""
    touched, steps = [], []
    for count in SIZES:
        routing, _ = long(count)
        before = routing.index.ring.examined
        steps.append(steps_of(lambda count=count, routing=routing: call(routing, count)))  # type: ignore[misc]
        touched.append(routing.index.ring.examined - before)
    return touched, steps


def assert_even(counts: list[int]) -> None:
    assert max(counts) <= MOST_GROWTH * counts[0] + 60, counts


def seen_of(routing: EndpointSubsetting) -> list[str]:
    return [name.decode() for name in routing.subset.members]


def test_change_of_what_no_subset_holds_costs_next_to_nothing() -> None:
    def change(routing: EndpointSubsetting, count: int) -> None:
        members, groups = set(seen_of(routing)), routing.subset.scopes[0]
        others = [
            each
            for each in (entry(number, count) for number in range(count - 900, count))
            if each.name not in members and each.cell not in groups
        ][:20]
        assert len(others) == 20
        for each in others:
            drained = steps_of(lambda each=each: learn(routing, [replace(each, state=DRAINING)]))  # type: ignore[misc]
            assert drained < 250  # far under a walk of the least list, and less than two of the view
            assert learn(routing, [each]) is None

    touched, _ = costs(change)
    assert touched == [40] * len(SIZES)  # one for each change


def test_change_of_a_member_and_its_return_cost_the_subset() -> None:
    def change(routing: EndpointSubsetting, count: int) -> None:
        number = int(seen_of(routing)[5][1:])
        assert learn(routing, [replace(entry(number, count), state=GONE)]) is not None
        assert learn(routing, [entry(number, count)]) is not None

    touched, steps = costs(change)
    assert max(touched) < 2 * 5 * SIZE
    assert_even(touched)
    assert_even(steps)


def test_bulk_of_changes_costs_what_it_touches() -> None:
    def change(routing: EndpointSubsetting, count: int) -> None:
        rack = [entry(number, count) for number in range(0, 800, 20)]
        learn(routing, [replace(each, state=GONE) for each in rack])
        learn(routing, rack)

    touched, steps = costs(change)
    assert max(touched) < 2 * (40 + 5 * SIZE)
    assert_even(touched)
    assert_even(steps)


def test_choice_of_a_subset_costs_the_subset() -> None:
    def choose(routing: EndpointSubsetting, count: int) -> None:
        view = Subset(routing.subset.proxy_position, routing.subset.min_distance, SIZE)
        view.select(routing.index)
        assert view.members == routing.subset.members

    touched, steps = costs(choose)
    assert max(touched) < 5 * SIZE
    assert_even(touched)
    assert_even(steps)


def test_step_into_the_ring_is_bounded_by_its_bucket() -> None:
    for count in SIZES:
        buckets = [bucket for bucket in long(count)[0].index.ring.buckets if bucket]
        mean = count / 4_096
        assert max(len(bucket.positions) for bucket in buckets) < 6 + mean + 6 * mean**0.5


class Counting(list[Endpoint]):
    """The list of those up, which counts how many of them were looked at."""

    looked = 0

    def __iter__(self):  # type: ignore[no-untyped-def]  # noqa: ANN204
        for each in super().__iter__():
            self.looked += 1
            yield each


@pytest.mark.parametrize("what", ["choose", "end_period", "learn"])
def test_policy_is_handed_no_more_than_the_subset(what: str) -> None:
    """What it does for a request, a period and a change is linear in what it is handed."""
    looked, steps = [], []
    for count in SIZES:
        routing, seen = long(count)
        fleet = LoadBalancer(SETTINGS, Random(1))
        fleet.apply_endpoint_list(NOW, seen.event)
        assert len(fleet.backends) <= SIZE + STANDINS_MOST and len(fleet.ready) == len(fleet.backends)
        up = fleet.ready = Counting(fleet.ready)  # type: ignore[assignment]
        number = int(seen_of(routing)[5][1:])
        change = learn(routing, [replace(entry(number, count), started_us=NOW - 5 * SECOND_US)])
        learn(routing, [entry(number, count)])
        assert change is not None and len(change.event.endpoints) == 1
        customer = CustomerAccount(PLAN, CustomerKey(1, 0, 0, 1), SETTINGS, NOW, 0)
        job = PendingRequest(RequestReceived("a", 0, 0, "c", 6 * SECOND_US), IDEMPOTENT, customer, NOW, 0)
        calls: dict[str, Callable[[], object]] = {
            "choose": lambda fleet=fleet, job=job: fleet.choose(NOW, job),  # type: ignore[misc]
            "end_period": lambda fleet=fleet: fleet.end_period(NOW, 9.0, SECOND_US),  # type: ignore[misc]
            "learn": lambda fleet=fleet, change=change: fleet.apply_endpoint_list(NOW, change.event),  # type: ignore[misc]
        }
        steps.append(steps_of(calls[what]))
        looked.append(up.looked)
    assert max(looked) <= SIZE + STANDINS_MOST
    assert what == "learn" or min(looked) >= CANDIDATE_COUNT
    assert_even(steps)
