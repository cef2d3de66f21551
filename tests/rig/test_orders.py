"""The real tool, agents and front doors on loopback: a door killed mid-order, a stopped one, exit codes."""

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
from rig.orders import Trial, carried_out, kill_at, scenario, wrong_words
from rig.world.world import World

ROOT = Path(__file__).parents[2]


def test_door_killed_mid_order_is_reported_as_it_was_and_drains_before_its_first_request() -> None:
    async def trials() -> list[Trial]:
        return await asyncio.gather(kill_at("accepted", 2))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for trial in runner.run(trials()):
            assert not trial.wrong and not trial.tracebacks, trial.wrong
            assert trial.report.verdict is Verdict.PARTIAL
            assert not trial.world.ledger.unaccounted and not trial.world.ledger.broken_count


async def tool(rig: FleetRig, *arguments: str) -> tuple[int, dict[str, Any]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "molereach",
        "fleet",
        *arguments,
        "--json",
        cwd=ROOT,
        env={**os.environ, "MOLEREACH_FLEET": str(rig.file)},
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, json.loads(out) if out else {}


def test_tool_says_what_is_and_ends_with_its_exit_codes() -> None:
    """Done, conflict, refused, partly with a stopped front door, unreachable; hold and release; watch."""

    async def job() -> None:
        with tempfile.TemporaryDirectory() as folder:
            world = World(scenario(3, 20.0, 30.0), 1)
            rig = FleetRig(Path(folder), world.host, world.doors)
            ready = asyncio.Event()
            try:
                await rig.start()
                day = asyncio.get_running_loop().create_task(world.run(ready.set))
                await ready.wait()
                watching = asyncio.create_task(tool_lines(rig, "watch", "--seconds", "6"))
                code, found = await tool(rig, "status")
                assert code == 0 and [one["doors"][0]["reach"] for one in found["agents"]] == ["up"] * 3
                code, found = await tool(rig, "drain", "s-1", "--reason", "disk", "--id", "d1", "--wait", "9")
                assert code == 0 and found["verdict"] == "done" and found["in_flight"]["ended"]
                code, found = await tool(rig, "members")
                seen = [one for each in found["agents"] for door in each["doors"].values() for one in door]
                assert code == 0 and {one["drained"] for one in seen if one["name"] == "s-1"} == {True}
                assert all(one["in_flight"] == 0 for one in seen if one["name"] == "s-1")
                code, found = await tool(rig, "drain", "s-4", "--reason", "too", "--id", "d2")
                assert code == 4 and found["winner"]["order"]["id"] == "d1"  # its building would be empty
                code, found = await tool(rig, "drain", "s-77", "--reason", "typing")
                assert code == 6 and "s-77" in found["text"]
                code, found = await tool(rig, "quota", "0" * 16)
                assert code == 0 and len(found["agents"]) == 3
                world.doors[1].stop()
                code, found = await tool(rig, "hold", "n1", "--reason", "sick", "--id", "h1")
                assert code == 3 and "n1" in found["text"]
                word = next(word for word in found["doors"] if word["door"] == "n1")
                assert (word["carried_out"], word["reach"]) == (False, "silent")
                assert word["heard_ago_ms"] > 1000
                code, found = await tool(rig, "orders")
                rows = {row["id"]: row for row in found["orders"]}
                assert code == 0 and rows["h1"]["lacking"] == ["a1/n1"] and rows["d1"]["doors"] == "3/3"
                world.doors[1].resume()
                code, found = await tool(rig, "hold", "n1", "--reason", "sick", "--id", "h1")
                assert code == 0 and found["decided"]["revision"] == 2  # the same order, carried out now
                code, found = await tool(rig, "release", "n1", "--reason", "well")
                assert code == 0
                for agent in rig.agents[:2]:
                    agent.signal(signal.SIGSTOP)
                code, found = await tool(rig, "undrain", "s-1", "--reason", "back", "--id", "u1")
                assert code == 5 and found["decided"] is None
                for agent in rig.agents[:2]:
                    agent.signal(signal.SIGCONT)
                code, found = await tool(rig, "undrain", "s-1", "--reason", "back", "--id", "u1")
                assert code == 0
                kinds = [(line["kind"], line["subject"]) for line in await watching]
                assert ("order", "d1") in kinds
                day.cancel()
                await asyncio.gather(day, return_exceptions=True)
            finally:
                world.close()
                rig.close()
            assert not sum(agent.tracebacks() for agent in rig.agents)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(job())


async def tool_lines(rig: FleetRig, *arguments: str) -> list[dict[str, Any]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "molereach",
        "fleet",
        *arguments,
        "--json",
        cwd=ROOT,
        env={**os.environ, "MOLEREACH_FLEET": str(rig.file)},
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return [json.loads(line) for line in out.splitlines()]


def test_judge_of_reports_finds_each_untruth() -> None:
    words = (
        ProxyReport("a0", "n0", True, "up", 1, 3),
        ProxyReport("a1", "n1", False, "gone", 0, 900, "refused"),
    )
    true = Report(
        Verdict.PARTIAL,
        "o1",
        "front door n1 has not said that it has it",
        None,
        None,
        (AgentReport("a0", True),),
        words,
    )
    assert not wrong_words(true, {"n0": True, "n1": False}, "n1")
    assert not wrong_words(true, {"n0": True, "n1": True}, "n1")  # its last word was lost: not known
    assert wrong_words(true, {"n0": False, "n1": False}, "n1")
    assert wrong_words(true, {"n0": True, "n1": True}, "n0")
    assert wrong_words(true, {"n0": True, "n1": False, "n2": True}, "n1")
    done = Report(Verdict.DONE, "o1", "stands", None, None, (), words)
    assert len(wrong_words(done, {"n0": True, "n1": False}, "n1")) == 2
    lost = Report(Verdict.CONFLICT, "o1", "n1", None, None, (), words)
    assert wrong_words(lost, {"n0": True, "n1": False}, "n1")
    assert carried_out(["x", "INFO order o1: drain s-1"], "o1") and not carried_out(["order o11: "], "o1")


def test_interrupted_demo_leaves_one_line_and_no_traceback(tmp_path: Path) -> None:
    async def job() -> None:
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
        await asyncio.sleep(2.5)  # within the day
        process.send_signal(signal.SIGTERM)
        _, errors = await process.communicate()
        assert process.returncode == 130
        assert errors.count(b"\n") == 1 and b"all that it started has ended" in errors, errors.decode()

    asyncio.run(asyncio.wait_for(job(), 60))
