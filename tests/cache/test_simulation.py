"""Random histories of a small fleet, in which front doors lag, pause, crash, restart, lead or leave.

No reading from before a purge is shown after its receipt, no receipt is withdrawn, and no other member's
readings are lost. The same histories detect each mutant, which lacks one safeguard.
"""

import pytest

from molereach.cache.door import Door
from molereach.cache.purge.machine import Purges
from tests.cache.mutants import DOORS, MACHINES
from tests.cache.simulation import Simulation
from tests.cache.simulation_parts import Implementation, InvariantError

HISTORIES, STEPS, FAULTLESS_END_EVERY = 2000, 160, 4
MAX_SEEDS = 600  # tried until one detects a mutant
DETECTING_SEEDS = {  # tried first
    "LateAnswerStored": 131,
    "AgeCountedFromAnswer": 45,
    "HitCheckedOnce": 51,
    "SessionExpiryIgnored": 422,
    "MarkRemovedEarly": 108,
    "FloorIgnored": 24,
    "RepeatedRequestPurges": 163,
    "CrossMemberEviction": 43,
    "UnsortedCohort": 52,
    "PastPurgeDroppedEarly": 12,
    "ForgottenIdAccepted": 51,
    "ReportsNotRequired": 400,
}


def run_history(seed: int, implementation: Implementation) -> Simulation:
    simulation = Simulation(seed, implementation)
    simulation.run(STEPS)
    if seed % FAULTLESS_END_EVERY == 0:
        simulation.run_without_faults()
    return simulation


def test_random_histories_keep_all_invariants() -> None:
    written = refused = receipts = purges = 0
    for seed in range(HISTORIES):
        simulation = run_history(seed, Implementation())
        written, refused = written + simulation.written_hits, refused + simulation.refused_hits
        receipts, purges = receipts + len(simulation.receipts), purges + len(simulation.accepted_purges)
    assert written > HISTORIES and refused > HISTORIES // 10
    assert receipts > HISTORIES and purges > receipts


@pytest.mark.parametrize("mutant", [*DOORS, *MACHINES], ids=lambda mutant: mutant.__name__)
def test_a_mutant_without_a_safeguard_is_detected(mutant: type[Door] | type[Purges]) -> None:
    implementation = (
        Implementation(door=mutant) if issubclass(mutant, Door) else Implementation(purges=mutant)
    )
    for seed in (DETECTING_SEEDS.get(mutant.__name__, 0), *range(MAX_SEEDS)):
        try:
            run_history(seed, implementation)
        except InvariantError:
            return
    pytest.fail("no history detected it")
