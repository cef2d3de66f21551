"""Random histories of a small fleet: no reading from before a purge is shown after its receipt, whoever lags,
stops, dies, restarts, leads or leaves; no receipt is taken back; nobody else's readings are lost. And each
safeguard, taken out, is found by the same histories."""

import pytest

from molereach.cache.door import Door
from molereach.cache.purge.machine import Purges
from tests.cache.mutants import DOORS, MACHINES
from tests.cache.players import BrokenError, Cores
from tests.cache.world import World

HISTORIES, STEPS, CALM_EVERY = 2000, 160, 4
MOST_TRIED = 600  # histories, until one finds a mutation
FIRST = {  # one that does, tried first
    "LateFillKept": 131,
    "FetchedWhenAnswered": 45,
    "HitCheckedOnce": 51,
    "LapseIgnored": 422,
    "MarkForgottenEarly": 108,
    "FloorPassedOver": 24,
    "RepeatPurges": 163,
    "EvictionCrosses": 43,
    "UnsortedRoster": 52,
    "PastForgottenEarly": 12,
    "ForgottenIsNew": 51,
    "WordOfNobody": 400,
}


def play(seed: int, cores: Cores) -> World:
    world = World(seed, cores)
    world.history(STEPS)
    if seed % CALM_EVERY == 0:
        world.calm()
    return world


def test_random_histories_keep_every_promise() -> None:
    written = refused = receipts = purges = 0
    for seed in range(HISTORIES):
        world = play(seed, Cores())
        written, refused = written + world.written, refused + world.refused
        receipts, purges = receipts + len(world.receipts), purges + len(world.purged)
    assert written > HISTORIES and refused > HISTORIES // 10
    assert receipts > HISTORIES and purges > receipts


@pytest.mark.parametrize("kind", [*DOORS, *MACHINES], ids=lambda kind: kind.__name__)
def test_a_safeguard_that_is_taken_out_is_missed(kind: type[Door] | type[Purges]) -> None:
    cores = Cores(door=kind) if issubclass(kind, Door) else Cores(purges=kind)
    for seed in (FIRST.get(kind.__name__, 0), *range(MOST_TRIED)):
        try:
            play(seed, cores)
        except BrokenError:
            return
    pytest.fail("no history found it")
