"""Changes that are received while the full list of a new address is applied in steps."""

from dataclasses import replace

import pytest

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointState
from molereach.subsetting.interface import EndpointListError
from molereach.subsetting.packed_records import unpack
from tests.subsetting.model import (
    DRAINING,
    REMOVED,
    UP,
    SubsettingModel,
    addresses_of,
    endpoint,
    settings_with,
)

MAX_STEP_ENTRIES = 500  # applied in one turn of the event loop
FULL, CHANGES = EndpointListKind.FULL, EndpointListKind.CHANGES
NEW_LIST = [endpoint(number, started_us=50) for number in range(1_500)]


def long_list(model: SubsettingModel) -> dict[str, Endpoint]:
    assert model.subsetting.short_list is None
    return {listed.name: listed for listed, _ in map(unpack, model.subsetting.index.ring)}


def apply_new_list(
    model: SubsettingModel, changes: dict[int, list[Endpoint]], staged_changes: bool = False
) -> int:
    """Apply the new list in steps, and changes of the old address before given steps; the number of steps."""
    staged = model.subsetting.stage()
    staged.add(NEW_LIST, addresses_of(NEW_LIST))
    steps, step = model.subsetting.take_over(staged, FULL, 9), 0
    while True:
        if step in changes:
            model.report(model.apply(CHANGES, changes[step], part_count=int(staged_changes))[0])
        try:
            next(steps)
        except StopIteration as stopped:
            model.report(stopped.value)
            return step
        step += 1


def model_with_list(count: int) -> SubsettingModel:
    model = SubsettingModel(settings_with(proxy_count=2), 20, max_entries=2_000)  # each of two has all
    old_list = [endpoint(number, started_us=50) for number in range(count)]
    model.report(model.apply(FULL, old_list)[0])
    return model


@pytest.mark.parametrize("staged_changes", [False, True])
@pytest.mark.parametrize("count", [10, 600])
@pytest.mark.parametrize("step", [1, 2, 3])
@pytest.mark.parametrize(("state", "started_us"), [(DRAINING, 50), (REMOVED, 50), (UP, 60), (DRAINING, 60)])
def test_change_that_ends_or_restarts_a_backend_is_newer_than_the_list(
    count: int, step: int, state: EndpointState, started_us: int, staged_changes: bool
) -> None:
    """It was received after the complete list, so it is valid for the new list as well."""
    model = model_with_list(count)
    change = endpoint(5, state=state, started_us=started_us)
    apply_new_list(model, {step: [change]}, staged_changes)
    result = long_list(model)
    assert result.get("b5") == (None if state is REMOVED else change)
    assert len(result) == 1_500 - (state is REMOVED)
    reported = model.reported.get("b5")
    assert (reported and reported[0]) == (change if state is UP else None)


@pytest.mark.parametrize("count", [10, 600])
@pytest.mark.parametrize(
    "change",
    [
        endpoint(5, started_us=50),
        endpoint(5, state=DRAINING, started_us=40),
        endpoint(5, started_us=40),
        endpoint(1_700),
        endpoint(1_700, state=DRAINING),
        endpoint(1_700, state=REMOVED),
    ],
)
def test_change_is_ignored_if_the_new_list_has_no_such_endpoint_or_a_newer_state(
    count: int, change: Endpoint
) -> None:
    """An endpoint that the new address never mentions again would otherwise stay in the list forever."""
    model = model_with_list(count)
    apply_new_list(model, {2: [change]})
    assert long_list(model) == {listed.name: listed for listed in NEW_LIST}


@pytest.mark.parametrize("count", [10, 600])
def test_steps_are_limited_in_size_also_with_many_changes(count: int) -> None:
    model = model_with_list(count)
    drains = [replace(listed, state=DRAINING) for listed in NEW_LIST[:1_200]]
    steps_without, steps_with = (
        apply_new_list(model_with_list(count), {}),
        apply_new_list(model, {1: drains[:600], 2: drains[600:]}),
    )
    assert steps_with - steps_without >= 1_200 // MAX_STEP_ENTRIES  # the last slice is in the final step
    assert [listed.state for listed in long_list(model).values()].count(DRAINING) == 1_200


def test_list_is_rejected_if_there_are_more_changes_than_a_list_may_have_entries() -> None:
    model = model_with_list(600)
    drains = [replace(listed, state=DRAINING) for listed in NEW_LIST[:600]]
    with pytest.raises(EndpointListError, match="during the takeover"):
        apply_new_list(model, {1: drains, 2: drains * 2, 3: drains})
    assert len(long_list(model)) == 600 and not model.subsetting.overlay.recordings


def test_recording_ends_once_the_new_list_is_in_use() -> None:
    """While the previous list is released, all changes are applied to the new list."""
    model = model_with_list(600)
    staged = model.subsetting.stage()
    staged.add(NEW_LIST, addresses_of(NEW_LIST))
    steps = model.subsetting.take_over(staged, FULL, 9)
    while model.subsetting.count != len(NEW_LIST):
        next(steps)
    assert not model.subsetting.overlay.recordings
    model.report(model.apply(CHANGES, [endpoint(1_700)])[0])
    for _ in steps:
        pass
    assert "b1700" in long_list(model)
