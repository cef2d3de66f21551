"""Orders with the real tool, agents and front doors on loopback: failures during an order, and exit codes."""

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

from molereach.fleet.rollout.report import AgentReport, ProxyReport, Report, Verdict
from rig.fleet import FleetRig
from rig.orders import Trial, carried_out, kill_at, report_errors, scenario
from rig.world.world import World

ROOT = Path(__file__).parents[2]
LOAD_S = 600.0  # of load; the test ends it


def test_killed_front_door_is_reported_correctly_and_drains_before_its_first_request() -> None:
    async def trials() -> list[Trial]:
        return await asyncio.gather(kill_at("accepted", 2))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for trial in runner.run(trials()):
            assert not trial.wrong and not trial.tracebacks, trial.wrong
            assert trial.report.verdict is Verdict.PARTIAL
            assert not trial.world.ledger.unaccounted and not trial.world.ledger.broken_count


async def tool(fleet: FleetRig, *arguments: str) -> tuple[int, dict[str, Any]]:
    """Run the operator tool; its exit code and JSON output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "molereach",
        "fleet",
        *arguments,
        "--json",
        cwd=ROOT,
        env={**os.environ, "MOLEREACH_FLEET": str(fleet.file)},
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, json.loads(out) if out else {}


def test_tool_reports_each_outcome_with_its_exit_code() -> None:
    """Done, conflict, rejected, partial (a front door is stopped) and unreachable; hold, release, watch."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            world = World(scenario(3, LOAD_S, 30.0), 1)
            fleet = FleetRig(Path(folder), world.host, world.doors)
            ready = asyncio.Event()
            try:
                await fleet.start()
                world_run = asyncio.get_running_loop().create_task(world.run(ready.set))
                await ready.wait()
                watch_task = asyncio.create_task(tool_lines(fleet, "watch", "--seconds", "6"))
                code, found = await tool(fleet, "status")
                assert code == 0 and [agent["doors"][0]["reach"] for agent in found["agents"]] == ["up"] * 3
                code, found = await tool(
                    fleet, "drain", "s-1", "--reason", "disk", "--id", "d1", "--wait", "9"
                )
                assert code == 0 and found["verdict"] == "done" and found["in_flight"]["ended"]
                code, found = await tool(fleet, "members")
                seen = [
                    server for agent in found["agents"] for door in agent["doors"].values() for server in door
                ]
                assert code == 0 and {server["drained"] for server in seen if server["name"] == "s-1"} == {
                    True
                }
                assert all(server["in_flight"] == 0 for server in seen if server["name"] == "s-1")
                code, found = await tool(fleet, "drain", "s-4", "--reason", "too", "--id", "d2")
                # A further drain would leave the zone without a server.
                assert code == 4 and found["winner"]["order"]["id"] == "d1"
                code, found = await tool(fleet, "drain", "s-77", "--reason", "typing")
                assert code == 6 and "s-77" in found["text"]
                code, found = await tool(fleet, "quota", "0" * 16)
                assert code == 0 and len(found["agents"]) == 3
                world.doors[1].stop()
                code, found = await tool(fleet, "hold", "n1", "--reason", "sick", "--id", "h1")
                assert code == 3 and "n1" in found["text"]
                n1_report = next(door for door in found["doors"] if door["door"] == "n1")
                assert (n1_report["carried_out"], n1_report["reach"]) == (False, "silent")
                assert n1_report["heard_ago_ms"] > 1000
                code, found = await tool(fleet, "orders")
                rows = {row["id"]: row for row in found["orders"]}
                assert code == 0 and rows["h1"]["lacking"] == ["a1/n1"] and rows["d1"]["doors"] == "3/3"
                world.doors[1].resume()
                code, found = await tool(fleet, "hold", "n1", "--reason", "sick", "--id", "h1")
                assert code == 0 and found["decided"]["revision"] == 2  # the same order, now carried out
                code, found = await tool(fleet, "release", "n1", "--reason", "well")
                assert code == 0
                for agent in fleet.agents[:2]:
                    agent.signal(signal.SIGSTOP)
                code, found = await tool(fleet, "undrain", "s-1", "--reason", "back", "--id", "u1")
                assert code == 5 and found["decided"] is None
                for agent in fleet.agents[:2]:
                    agent.signal(signal.SIGCONT)
                code, found = await tool(fleet, "undrain", "s-1", "--reason", "back", "--id", "u1")
                assert code == 0
                kinds = [(line["kind"], line["subject"]) for line in await watch_task]
                assert ("order", "d1") in kinds
                assert not world_run.done()  # front doors that end meanwhile would answer for another state
                world_run.cancel()
                await asyncio.gather(world_run, return_exceptions=True)
            finally:
                world.close()
                fleet.close()
            assert not sum(agent.tracebacks() for agent in fleet.agents)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


async def tool_lines(fleet: FleetRig, *arguments: str) -> list[dict[str, Any]]:
    """Run a command of the operator tool that prints one JSON object a line."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "molereach",
        "fleet",
        *arguments,
        "--json",
        cwd=ROOT,
        env={**os.environ, "MOLEREACH_FLEET": str(fleet.file)},
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return [json.loads(line) for line in out.splitlines()]


def test_each_error_of_a_report_is_found() -> None:
    proxy_reports = (
        ProxyReport("a0", "n0", True, "up", 1, 3),
        ProxyReport("a1", "n1", False, "gone", 0, 900, "refused"),
    )
    report = Report(
        Verdict.PARTIAL,
        "o1",
        "front door n1 has not said that it has it",
        None,
        None,
        (AgentReport("a0", True),),
        proxy_reports,
    )
    assert not report_errors(report, {"n0": True, "n1": False}, "n1")
    assert not report_errors(report, {"n0": True, "n1": True}, "n1")  # its last response may have been lost
    assert report_errors(report, {"n0": False, "n1": False}, "n1")
    assert report_errors(report, {"n0": True, "n1": True}, "n0")
    assert report_errors(report, {"n0": True, "n1": False, "n2": True}, "n1")
    done = Report(Verdict.DONE, "o1", "stands", None, None, (), proxy_reports)
    assert len(report_errors(done, {"n0": True, "n1": False}, "n1")) == 2
    lost = Report(Verdict.CONFLICT, "o1", "n1", None, None, (), proxy_reports)
    assert report_errors(lost, {"n0": True, "n1": False}, "n1")
    assert carried_out(["x", "INFO order o1: drain s-1"], "o1") and not carried_out(["order o11: "], "o1")


def test_interrupted_demo_prints_one_line_and_no_traceback(tmp_path: Path) -> None:
    async def run() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "molereach",
            "demo",
            "--seconds",
            "60",
            "--fleet",
            str(tmp_path / "f"),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        assert b"MOLEREACH_FLEET" in await process.stderr.readline()
        await asyncio.sleep(2.5)  # while the load runs
        process.send_signal(signal.SIGTERM)
        _, errors = await process.communicate()
        assert process.returncode == 130
        assert errors.count(b"\n") == 1 and b"all that it started has ended" in errors, errors.decode()

    asyncio.run(asyncio.wait_for(run(), 60))
