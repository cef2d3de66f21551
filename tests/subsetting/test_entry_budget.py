"""The room for long lists: what is there counts, wherever it is held."""

import contextlib

import pytest

from molereach.policy.interface.events import EndpointListKind
from molereach.subsetting.endpoint_subsetting import run_to_end
from molereach.subsetting.interface import EntryBudgetExceededError
from tests.subsetting.model import World, addresses_of, server, settings_of

FULL, CHANGES = EndpointListKind.FULL, EndpointListKind.CHANGES


@pytest.mark.parametrize("kind", [FULL, CHANGES])
def test_entry_budget_counts_what_is_there_at_each_step_and_after_a_takeover_that_is_left(
    kind: EndpointListKind,
) -> None:
    """Entries move from what was staged to the list; none is counted for what has gone."""
    world = World(settings_of(doors=100), 20, most=2_000)
    world.hear(world.give(FULL, [server(number) for number in range(600)])[0])
    for taken in range(100):
        staged = world.routing.stage()
        entries = [server(number) for number in range(600, 1_900)]
        staged.add(entries, addresses_of(entries))
        before, steps = world.routing.count, world.routing.take_over(staged, kind, 2)
        assert world.routing.budget.entry_count == before + 1_300
        try:
            for _ in range(taken):
                next(steps)
                assert 1_300 <= world.routing.budget.entry_count <= before + 1_300
        except StopIteration:
            assert world.routing.budget.entry_count == world.routing.count
            return
        del staged, steps
        assert world.routing.budget.entry_count == world.routing.count
    raise AssertionError("it never ends")


def test_third_copy_exceeds_the_budget_until_another_has_gone() -> None:
    """Not even while a list is taken over, or let go of: all of that is held."""
    world = World(settings_of(doors=100), 20, most=3_000)
    entries = [server(number) for number in range(2_900)]
    world.hear(world.give(FULL, entries)[0])
    first, other = world.routing.stage(), world.routing.stage()
    first.add(entries, addresses_of(entries))
    other.add(entries[:200], {})
    with pytest.raises(EntryBudgetExceededError, match="7000"):
        other.add(entries[200:], {})
    assert (other.added_count, first.added_count) == (200, 2_900)
    steps, refused = world.routing.take_over(first, FULL, 2), 0
    for _ in steps:
        with contextlib.suppress(EntryBudgetExceededError):
            other.add(entries[200:], {})
            break
        refused += 1
    assert refused >= 2 and other.added_count == 2_900
    assert run_to_end(steps) is not None and world.routing.budget.entry_count == 5_800
