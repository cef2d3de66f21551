"""Rolling replacement of front doors without `[limits]` by ones with it, and the reverse.

Both versions serve the same customers during the replacement, in virtual time and as processes.
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
from sim.loop import CURRENT_NODE
from sim.world import DOOR_BY_NODE, run_scenario, serve_with_limits

RUN_TIMEOUT_S = 60
# The ceiling is below the quota, so the ceiling is the effective limit.
BULK_PLAN = workload.PlanSpec("bulk-tariff", 48.0, 48.0, 1.8, 24.0, 36.0, 4.0)
SCENARIO = sc.Scenario(
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
def bulk_plan(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (workload, settings):
        monkeypatch.setattr(module, "PLANS", (*workload.PLANS[:2], BULK_PLAN))


def assert_limits_kept(ledger: Ledger, doors: int = SCENARIO.doors) -> None:
    """No rule is broken, and the excess over a quota is within the bound of a split set: (n-1) (b + q T)."""
    assert ledger.ok, [violation.line() for violation in ledger.broken]
    assert ledger.units_over <= BULK_PLAN.ceiling_slack + 0.15 * BULK_PLAN.ceiling_rate
    assert ledger.quota_over <= (doors - 1) * (BULK_PLAN.burst + BULK_PLAN.rate * 1.5)
    assert ledger.quota_granted > 0.45  # the ceiling is half of the quota


@pytest.mark.parametrize("begins_with_limits", [False, True])
@pytest.mark.parametrize("seed", [1])
def test_tier_of_mixed_versions_keeps_its_limits(seed: int, begins_with_limits: bool) -> None:
    starts: list[tuple[str, int, bool]] = []

    async def serve_either(config: Config) -> None:
        node = CURRENT_NODE.get()
        assert node is not None
        has_limits = (DOOR_BY_NODE[node].starts > 1) != begins_with_limits
        starts.append((config.name, DOOR_BY_NODE[node].starts, has_limits))
        await (serve_with_limits(config) if has_limits else serve(config))

    result = run_scenario(SCENARIO, seed, serve_with=serve_either)
    assert_limits_kept(result.report.ledger)
    assert not result.tracebacks and not result.unhandled_errors
    for has_limits in (False, True):  # every front door ran both versions
        assert {name for name, _, started in starts if started is has_limits} == set(SCENARIO.door_names())


def test_tier_of_mixed_versions_keeps_its_limits_as_processes(tmp_path: Path) -> None:
    operator_file = tmp_path / "operator.toml"
    operator_file.write_text("[limits]\n")
    commands: list[Sequence[str]] = []

    class ReplacedDoor(Door):
        def start(self) -> None:
            self.command = (*FRONT_DOOR, "--operator", str(operator_file)) if self.starts else FRONT_DOOR
            commands.append(self.command)
            super().start()

    async def run_scenario() -> Any:  # noqa: ANN401
        world = World(
            replace(
                SCENARIO,
                doors=3,
                fault=(
                    sc.Mail(at=0.1, lasts=9.0, loss=0.3),
                    sc.End(at=1.0, door=sc.ANY, part=1.0, steps=3, over=6.0, back_after=0.3),
                ),
            ),
            4,
            door_type=ReplacedDoor,
        )
        return await asyncio.wait_for(world.run(), RUN_TIMEOUT_S), sum(
            door.tracebacks for door in world.doors
        )

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        report, tracebacks = runner.run(run_scenario())
    assert len(commands) == 6 and commands[-1][-1] == str(operator_file)
    assert not tracebacks and not report.trouble
    assert not report.ledger.unaccounted and not report.ledger.rules_broken()
    assert report.ledger.units_over <= BULK_PLAN.ceiling_slack + 0.15 * BULK_PLAN.ceiling_rate
