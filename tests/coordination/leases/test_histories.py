"""Random histories keep the lease invariants, and break them when any one safeguard is removed."""

import pytest

from tests.coordination.leases.histories import run_history
from tests.coordination.leases.mutants import FAST_MUTANTS, MUTANTS
from tests.coordination.leases.simulation import Components, InvariantViolationError

HISTORIES_PER_TEST = 50
MAX_HISTORIES = 400  # within which each mutant must fail; most fail in under 50


@pytest.mark.parametrize("first_seed", range(0, 500, HISTORIES_PER_TEST))
def test_histories_keep_every_invariant(first_seed: int) -> None:
    simulations = [
        run_history(seed, fast=seed % 5 == 0) for seed in range(first_seed, first_seed + HISTORIES_PER_TEST)
    ]
    # The histories exercise grants, ended sessions and proofs often enough.
    assert sum(simulation.grant_count for simulation in simulations) > 20 * HISTORIES_PER_TEST
    assert sum(simulation.ended_count for simulation in simulations) > HISTORIES_PER_TEST
    assert sum(simulation.proof_count for simulation in simulations) > HISTORIES_PER_TEST


@pytest.mark.parametrize("name", MUTANTS)
def test_removing_a_safeguard_breaks_an_invariant(name: str) -> None:
    assert_violation_found(MUTANTS[name], fast=False)


@pytest.mark.parametrize("name", FAST_MUTANTS)
def test_ignoring_clock_drift_breaks_an_invariant(name: str) -> None:
    assert_violation_found(FAST_MUTANTS[name], fast=True)


def assert_violation_found(components: Components, fast: bool) -> None:
    with pytest.raises(InvariantViolationError):
        for seed in range(MAX_HISTORIES):
            run_history(seed, components, fast)
