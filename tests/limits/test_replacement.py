"""A tier that is replaced one by one, from front doors without [limits] to such with it and back.

Both kinds share customers meanwhile, in virtual time and as processes.
"""

import asyncio
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest
import uvloop
from msgspec.structs import replace

from molereach.__main__ import serve
from molereach.proxy.config import Config
from rig import scenario as sc
from rig import workload
from rig.audit.ledger import Ledger
from rig.doors import FRONT_DOOR, Door
from rig.world import settings
from rig.world.world import World
from sim.loop import NODE
from sim.world import DOORS, play, serve_with_limits

HANG_S = 60
# A ceiling below the quota, so that it is the ceiling that binds.
BULK = workload.PlanSpec("bulk-tariff", 48.0, 48.0, 1.8, 24.0, 36.0, 4.0)
DAY = sc.Scenario(
    "replaced",
    "a tier replaced one by one",
    9.0,
    5,
    6,
    sc.Load(160.0, 6, greedy=0.0, set_doors=5),
    fault=(
        sc.Mail(at=0.1, lasts=9.0, loss=0.3, duplicate=0.1, reorder=0.1),
        sc.End(at=1.5, door=sc.ANY, part=1.0, steps=5, over=6.0, back_after=0.3),
        sc.Moved(at=3.0, door="n2", share=0.7, lasts=3.0),
    ),
)


@pytest.fixture(autouse=True)
def plans(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (workload, settings):
        monkeypatch.setattr(module, "PLANS", (*workload.PLANS[:2], BULK))


def check(ledger: Ledger, doors: int = DAY.doors) -> None:
    """No rule is broken, and what goes beyond a quota is within what a split set may: (n-1) (b + q T)."""
    assert ledger.ok, [broken.line() for broken in ledger.broken]
    assert ledger.units_over <= BULK.ceiling_slack + 0.15 * BULK.ceiling_rate
    assert ledger.quota_over <= (doors - 1) * (BULK.burst + BULK.rate * 1.5)
    assert ledger.quota_granted > 0.45  # the ceiling is half of the quota


@pytest.mark.parametrize("begins_with_limits", [False, True])
@pytest.mark.parametrize("seed", [1])
def test_tier_of_both_kinds_keeps_its_limits(seed: int, begins_with_limits: bool) -> None:
    with_limits: list[tuple[str, int, bool]] = []

    async def either(config: Config) -> None:
        node = NODE.get()
        assert node is not None
        limits = (DOORS[node].starts > 1) != begins_with_limits
        with_limits.append((config.name, DOORS[node].starts, limits))
        await (serve_with_limits(config) if limits else serve(config))

    played = play(DAY, seed, serve_with=either)
    check(played.report.ledger)
    assert not played.tracebacks and not played.troubles
    for limits in (False, True):  # both kinds were there, each in all front doors in its turn
        assert {name for name, _, kind in with_limits if kind is limits} == set(DAY.door_names())


def test_tier_of_both_kinds_as_processes(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[limits]\n")
    commands: list[Sequence[str]] = []

    class Replaced(Door):
        def start(self) -> None:
            self.command = (*FRONT_DOOR, "--operator", str(file)) if self.starts else FRONT_DOOR
            commands.append(self.command)
            super().start()

    async def day() -> Any:  # noqa: ANN401
        one = World(
            replace(
                DAY,
                doors=3,
                fault=(
                    sc.Mail(at=0.1, lasts=9.0, loss=0.3),
                    sc.End(at=1.0, door=sc.ANY, part=1.0, steps=3, over=6.0, back_after=0.3),
                ),
            ),
            4,
            door_type=Replaced,
        )
        return await asyncio.wait_for(one.run(), HANG_S), sum(door.tracebacks for door in one.doors)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        report, tracebacks = runner.run(day())
    assert len(commands) == 6 and commands[-1][-1] == str(file)
    assert not tracebacks and not report.trouble
    assert not report.ledger.unaccounted and not report.ledger.rules_broken()
    assert report.ledger.units_over <= BULK.ceiling_slack + 0.15 * BULK.ceiling_rate
