"""The budget of one turn of the event loop."""

from molereach.coordination.transport.budget import (
    MAX_STEP_START_US,
    MAX_STEPS_PER_TURN,
    MAX_TURN_US,
    EventLoopBudget,
)


def test_a_turn_ends_by_steps_or_time_and_always_allows_one_step() -> None:
    budget, steps = EventLoopBudget(0), 0
    while budget.allows_step(0):
        steps += 1
    assert steps == MAX_STEPS_PER_TURN
    late_budget = EventLoopBudget(0)
    assert late_budget.allows_step(10 * MAX_TURN_US) and not late_budget.allows_step(10 * MAX_TURN_US)
    budget = EventLoopBudget(0)
    assert (
        budget.allows_step(0)
        and budget.allows_step(MAX_STEP_START_US - 1)
        and not budget.allows_step(MAX_STEP_START_US)
    )
