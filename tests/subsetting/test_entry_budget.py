"""The limit on entries of long lists in memory: all are counted, in whichever object they are."""

import contextlib

import pytest

from molereach.policy.interface.events import EndpointListKind
from molereach.subsetting.endpoint_subsetting import run_to_end
from molereach.subsetting.interface import EntryBudgetExceededError
from tests.subsetting.model import SubsettingModel, addresses_of, endpoint, settings_with

FULL, CHANGES = EndpointListKind.FULL, EndpointListKind.CHANGES


@pytest.mark.parametrize("kind", [FULL, CHANGES])
def test_entry_budget_counts_existing_entries_at_each_step_and_after_an_abandoned_takeover(
    kind: EndpointListKind,
) -> None:
    """Entries move from the staging to the list; released ones are not counted."""
    model = SubsettingModel(settings_with(proxy_count=100), 20, max_entries=2_000)
    model.report(model.apply(FULL, [endpoint(number) for number in range(600)])[0])
    for step_count in range(100):
        staged = model.subsetting.stage()
        endpoints = [endpoint(number) for number in range(600, 1_900)]
        staged.add(endpoints, addresses_of(endpoints))
        before, steps = model.subsetting.count, model.subsetting.take_over(staged, kind, 2)
        assert model.subsetting.budget.entry_count == before + 1_300
        try:
            for _ in range(step_count):
                next(steps)
                assert 1_300 <= model.subsetting.budget.entry_count <= before + 1_300
        except StopIteration:
            assert model.subsetting.budget.entry_count == model.subsetting.count
            return
        del staged, steps
        assert model.subsetting.budget.entry_count == model.subsetting.count
    raise AssertionError("the takeover has no last step")


def test_third_copy_of_a_list_exceeds_the_budget_until_another_one_is_released() -> None:
    """Entries also count while their list is being applied or released."""
    model = SubsettingModel(settings_with(proxy_count=100), 20, max_entries=3_000)
    endpoints = [endpoint(number) for number in range(2_900)]
    model.report(model.apply(FULL, endpoints)[0])
    first, second = model.subsetting.stage(), model.subsetting.stage()
    first.add(endpoints, addresses_of(endpoints))
    second.add(endpoints[:200], {})
    with pytest.raises(EntryBudgetExceededError, match="7000"):
        second.add(endpoints[200:], {})
    assert (second.added_count, first.added_count) == (200, 2_900)
    steps, rejected_count = model.subsetting.take_over(first, FULL, 2), 0
    for _ in steps:
        with contextlib.suppress(EntryBudgetExceededError):
            second.add(endpoints[200:], {})
            break
        rejected_count += 1
    assert rejected_count >= 2 and second.added_count == 2_900
    assert run_to_end(steps) is not None and model.subsetting.budget.entry_count == 5_800
