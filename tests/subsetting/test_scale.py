"""The cost of a change, a choice and a period does not grow with the list, in records read and lines run.

Each test was seen to fail with a linear scan added to the code; docs/design/view.md lists these scans.
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
from tests.subsetting.line_count import count_lines
from tests.subsetting.model import DRAINING, NOW_US, REMOVED, SECOND_US, addresses_of, endpoint, settings_with

LIST_LENGTHS = (1_000, 10_000, 50_000)
SUBSET_SIZE, MAX_EXTRA_SUBSTITUTES = 64, 4  # the substitutes of the last member may exceed the size
SETTINGS = settings_with(proxy_index=3, proxy_count=7_500, scopes=(DeduplicationScope.CELL,))
MAX_GROWTH = 1.25  # from 1,000 to 50,000 entries: random bucket sizes; a linear scan grows 50 times
CHANGES, FULL = EndpointListKind.CHANGES, EndpointListKind.FULL


def listed_endpoint(number: int, list_length: int) -> Endpoint:
    return endpoint(number, cells=list_length // 32, zones=26)  # in proportion, 93,000 in 2,900 cells


@cache
def long_list(list_length: int) -> tuple[EndpointSubsetting, SubsetUpdate]:
    """A list of this length, shared by all tests; each leaves it as it was."""
    subsetting = EndpointSubsetting(SETTINGS, SUBSET_SIZE, 2 * list_length)
    staged = subsetting.stage()
    for number in range(list_length):
        listed = listed_endpoint(number, list_length)
        staged.append(entry_of(listed, ("h", 80)))
    steps = subsetting.take_over(staged, FULL, 1)
    while True:
        try:
            next(steps)
        except StopIteration as stopped:
            return subsetting, stopped.value


def apply_changes(subsetting: EndpointSubsetting, endpoints: list[Endpoint]) -> SubsetUpdate | None:
    return subsetting.apply(EndpointListReceived(CHANGES, 2, tuple(endpoints)), addresses_of(endpoints))


def measure(call: Callable[[EndpointSubsetting, int], object]) -> tuple[list[int], list[int]]:
    """Records read and lines run by the call, for each length of the list."""
    examined_counts, line_counts = [], []
    for list_length in LIST_LENGTHS:
        subsetting, _ = long_list(list_length)
        before = subsetting.index.ring.examined
        line_counts.append(
            count_lines(lambda list_length=list_length, subsetting=subsetting: call(subsetting, list_length))  # type: ignore[misc]
        )
        examined_counts.append(subsetting.index.ring.examined - before)
    return examined_counts, line_counts


def assert_constant(counts: list[int]) -> None:
    assert max(counts) <= MAX_GROWTH * counts[0] + 60, counts


def member_names(subsetting: EndpointSubsetting) -> list[str]:
    return [name.decode() for name in subsetting.subset.members]


def test_change_that_does_not_affect_the_subset_costs_almost_nothing() -> None:
    def change(subsetting: EndpointSubsetting, list_length: int) -> None:
        members, member_cells = set(member_names(subsetting)), subsetting.subset.scopes[0]
        others = [
            listed
            for listed in (
                listed_endpoint(number, list_length) for number in range(list_length - 900, list_length)
            )
            if listed.name not in members and listed.cell not in member_cells
        ][:20]
        assert len(others) == 20
        for listed in others:
            line_count = count_lines(
                lambda listed=listed: apply_changes(subsetting, [replace(listed, state=DRAINING)])  # type: ignore[misc]
            )
            assert line_count < 250  # far below a scan of the shortest list, and below two of the subset
            assert apply_changes(subsetting, [listed]) is None

    examined_counts, _ = measure(change)
    assert examined_counts == [40] * len(LIST_LENGTHS)  # one for each change


def test_removal_and_return_of_a_member_cost_in_proportion_to_the_subset() -> None:
    def change(subsetting: EndpointSubsetting, list_length: int) -> None:
        number = int(member_names(subsetting)[5][1:])
        assert (
            apply_changes(subsetting, [replace(listed_endpoint(number, list_length), state=REMOVED)])
            is not None
        )
        assert apply_changes(subsetting, [listed_endpoint(number, list_length)]) is not None

    examined_counts, line_counts = measure(change)
    assert max(examined_counts) < 2 * 5 * SUBSET_SIZE
    assert_constant(examined_counts)
    assert_constant(line_counts)


def test_many_changes_cost_in_proportion_to_their_number() -> None:
    def change(subsetting: EndpointSubsetting, list_length: int) -> None:
        rack = [listed_endpoint(number, list_length) for number in range(0, 800, 20)]
        apply_changes(subsetting, [replace(listed, state=REMOVED) for listed in rack])
        apply_changes(subsetting, rack)

    examined_counts, line_counts = measure(change)
    assert max(examined_counts) < 2 * (40 + 5 * SUBSET_SIZE)
    assert_constant(examined_counts)
    assert_constant(line_counts)


def test_selection_of_a_subset_costs_in_proportion_to_its_size() -> None:
    def select(subsetting: EndpointSubsetting, list_length: int) -> None:
        subset = Subset(subsetting.subset.proxy_position, subsetting.subset.min_distance, SUBSET_SIZE)
        subset.select(subsetting.index)
        assert subset.members == subsetting.subset.members

    examined_counts, line_counts = measure(select)
    assert max(examined_counts) < 5 * SUBSET_SIZE
    assert_constant(examined_counts)
    assert_constant(line_counts)


def test_buckets_of_the_ring_are_limited_in_size() -> None:
    for list_length in LIST_LENGTHS:
        buckets = [bucket for bucket in long_list(list_length)[0].index.ring.buckets if bucket]
        mean = list_length / 4_096
        assert max(len(bucket.positions) for bucket in buckets) < 6 + mean + 6 * mean**0.5


class CountingList(list[Endpoint]):
    """The list of backends that are up; counts how many of them are read."""

    read_count = 0

    def __iter__(self):  # type: ignore[no-untyped-def]  # noqa: ANN204
        for each in super().__iter__():
            self.read_count += 1
            yield each


@pytest.mark.parametrize("operation", ["choose", "end_period", "apply_changes"])
def test_policy_gets_no_more_endpoints_than_the_subset(operation: str) -> None:
    """The cost of a request, a period and a change in the policy is linear in the number of its endpoints."""
    read_counts, line_counts = [], []
    for list_length in LIST_LENGTHS:
        subsetting, update = long_list(list_length)
        load_balancer = LoadBalancer(SETTINGS, Random(1))
        load_balancer.apply_endpoint_list(NOW_US, update.event)
        assert len(load_balancer.backends) <= SUBSET_SIZE + MAX_EXTRA_SUBSTITUTES and len(
            load_balancer.ready
        ) == len(load_balancer.backends)
        up = load_balancer.ready = CountingList(load_balancer.ready)  # type: ignore[assignment]
        number = int(member_names(subsetting)[5][1:])
        change = apply_changes(
            subsetting, [replace(listed_endpoint(number, list_length), started_us=NOW_US - 5 * SECOND_US)]
        )
        apply_changes(subsetting, [listed_endpoint(number, list_length)])
        assert change is not None and len(change.event.endpoints) == 1
        customer = CustomerAccount(PLAN, CustomerKey(1, 0, 0, 1), SETTINGS, NOW_US, 0)
        request = PendingRequest(
            RequestReceived("a", 0, 0, "c", 6 * SECOND_US), IDEMPOTENT, customer, NOW_US, 0
        )
        calls: dict[str, Callable[[], object]] = {
            "choose": lambda load_balancer=load_balancer, request=request: load_balancer.choose(  # type: ignore[misc]
                NOW_US, request
            ),
            "end_period": lambda load_balancer=load_balancer: load_balancer.end_period(  # type: ignore[misc]
                NOW_US, 9.0, SECOND_US
            ),
            "apply_changes": lambda load_balancer=load_balancer, change=change: (  # type: ignore[misc]
                load_balancer.apply_endpoint_list(NOW_US, change.event)
            ),
        }
        line_counts.append(count_lines(calls[operation]))
        read_counts.append(up.read_count)
    assert max(read_counts) <= SUBSET_SIZE + MAX_EXTRA_SUBSTITUTES
    assert operation == "apply_changes" or min(read_counts) >= CANDIDATE_COUNT
    assert_constant(line_counts)
