"""Processes of one council with faults between and in them: dropped links, stalls, slow replies, kills.

Each waits for what must come, not for a time; what must not come is looked for in the members' logs and
answers at the end.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from rig.council.tier import Member, Tier

WITHIN_S = 20.0  # only what hangs takes so long
WITHIN_US = 15_000_000
States = dict[str, dict[str, Any]]
Job = Callable[[Tier], Awaitable[None]]


def play(home: Path, job: Job, count: int = 5, seats: int = 5, faulty: bool = False, **more: int) -> Tier:
    """A council that has formed, what is done to it, and its end."""
    tier = Tier(home, count, seats, faulty, **more)

    async def whole() -> None:
        async with asyncio.timeout(60):
            try:
                await tier.start()
                await until(tier, formed)
                await job(tier)
            finally:
                await tier.close()

    asyncio.run(whole())
    lines = [line for member in tier.members.values() for line in member.log]
    assert not [line for line in lines if "Traceback" in line or "cannot carry out" in line]
    return tier


def formed(states: States) -> bool:
    """One leads, all hold sessions and see all."""
    leaders = [name for name, state in states.items() if state["council_leads"]]
    return len(leaders) == 1 and all(
        state["council_session"] and len(state["alive"]) == len(states) for state in states.values()
    )


async def until(tier: Tier, true: Callable[[States], bool]) -> States:
    """Look until it is so; each look is a word with each process, so this does not spin."""
    async with asyncio.timeout(WITHIN_S):
        while not true(states := await tier.states()):
            await asyncio.sleep(0.01)
    return states


async def mark(member: Member, name: str) -> dict[str, Any]:
    found = await member.ask("mark", id=name, within_us=WITHIN_US)
    assert found["over"] == "settled", found
    return found


async def leader(tier: Tier) -> str:
    states = await until(tier, lambda states: any(state["council_leads"] for state in states.values()))
    return next(name for name, state in states.items() if state["council_leads"])


async def proof(tier: Tier, position: int) -> dict[str, str]:
    """The proof that all have the entry, as whoever leads gives it."""
    async with asyncio.timeout(WITHIN_S):
        while True:
            found = await tier.members[await leader(tier)].ask("account", position=position)
            if found["proof"] is not None:
                return dict(found["proof"])
            await asyncio.sleep(0.02)


def same(states: States) -> bool:
    return len({(state["council_position"], state["digest"]) for state in states.values()}) == 1


def test_leader_killed_under_proposals(tmp_path: Path) -> None:
    async def job(tier: Tier) -> None:
        first = await leader(tier)
        others = [member for name, member in tier.members.items() if name != first]
        asked = [asyncio.create_task(mark(others[number % 4], f"m{number}")) for number in range(12)]
        tier.members[first].signal(signal.SIGKILL)
        await asyncio.gather(*asked)
        await tier.members[first].end()
        last = await mark(others[0], "last")
        states = await until(
            tier, lambda states: same(states) and all(len(state["alive"]) == 4 for state in states.values())
        )
        for state in states.values():
            assert sorted(state["marks"]) == sorted([*(f"m{number}" for number in range(12)), "last"])
        known = await proof(tier, last["position"])
        assert known.pop(first, "over") == "over" and set(known.values()) == {"said"} and len(known) == 4

    play(tmp_path, job)


def test_learner_stopped_is_accounted_for_by_its_session_and_comes_back(tmp_path: Path) -> None:
    async def job(tier: Tier) -> None:
        stopped = tier.members["n5"]
        before = (await stopped.ask("state"))["council_session"]
        stopped.signal(signal.SIGSTOP)
        found = await mark(tier.members["n0"], "while-it-stood")
        known = await proof(tier, found["position"])
        assert known["n5"] == "over" and set(known) == set(tier.names)
        stopped.signal(signal.SIGCONT)
        states = await until(tier, lambda states: formed(states) and same(states))
        assert states["n5"]["council_session"] > before and "while-it-stood" in states["n5"]["marks"]
        assert any("is not held any more" in line for line in stopped.log)

    play(tmp_path, job, count=6)


def test_leader_stopped_gives_nothing_when_it_wakes(tmp_path: Path) -> None:
    async def job(tier: Tier) -> None:
        first = await leader(tier)
        tier.members[first].signal(signal.SIGSTOP)
        rest = [member for name, member in tier.members.items() if name != first]
        await mark(rest[0], "without-it")
        tier.members[first].signal(signal.SIGCONT)
        states = await until(tier, lambda states: formed(states) and same(states))
        assert "without-it" in states[first]["marks"]

    play(tmp_path, job)


@pytest.mark.parametrize("how", ["stall", "lose", "one way", "drop", "slow"])
def test_one_bad_link_makes_nobody_dead(tmp_path: Path, how: str) -> None:
    async def job(tier: Tier) -> None:
        for relay in tier.relays_between("n1", "n2"):
            match how:
                case "stall":
                    relay.stall()
                case "lose":
                    relay.discard()
                case "one way":
                    relay.discard("to")
                case "slow":
                    relay.delay(0.3)
                case _:
                    relay.hold()
                    relay.drop()
        for number in range(6):
            await mark(tier.members[f"n{number % 5}"], f"m{number}")
        await until(tier, lambda states: formed(states) and same(states))

    tier = play(tmp_path, job, faulty=True)
    assert not [line for member in tier.members.values() for line in member.log if line.endswith("is dead")]


def test_cut_off_member_loses_its_session_and_nothing_is_settled_there(tmp_path: Path) -> None:
    async def job(tier: Tier) -> None:
        for relay in tier.relays_of("n4"):
            relay.hold()
            relay.drop()
        lost = asyncio.create_task(tier.members["n4"].ask("mark", id="cut-off", within_us=1_500_000))
        found = await mark(tier.members["n0"], "with-the-rest")
        assert (await proof(tier, found["position"]))["n4"] == "over"
        assert (await lost)["over"] == "unknown"
        assert not (await tier.members["n4"].ask("state"))["council_session"]
        for relay in tier.relays_of("n4"):
            relay.clear_faults()
            relay.drop()
        await until(tier, lambda states: formed(states) and same(states))

    play(tmp_path, job, faulty=True)


def test_restart_with_its_folder_and_with_a_lost_one(tmp_path: Path) -> None:
    async def job(tier: Tier) -> None:
        member = tier.members["n3"]
        await mark(member, "before")
        await member.end()
        await mark(tier.members["n0"], "meanwhile")
        await member.start()
        states = await until(tier, lambda states: formed(states) and same(states))
        assert states["n3"]["marks"] == ["before", "meanwhile"]
        await member.end()
        assert member.folder
        for file in member.folder.iterdir():
            file.unlink()
        await member.start()  # with the first seat's name again, and none of its promises
        await until(tier, lambda states: formed(states) and same(states))
        assert any("was set back" in line for line in member.log)

    play(tmp_path, job)


def test_wrong_key_and_a_name_twice_are_kept_out(tmp_path: Path) -> None:
    async def job(tier: Tier) -> None:
        member = tier.members["n4"]
        await member.end()
        good, text = tier.key, member.config.read_text()
        member.config.write_text(text.replace(good, "00" * 16))
        assert member.folder
        other = member.folder.with_name("other")
        other.mkdir(mode=0o700)
        member.config.write_text(member.config.read_text().replace(f'"{member.folder}"', f'"{other}"'))
        await member.start()
        await until(tier, lambda states: len(states["n0"]["alive"]) == 4)
        assert not (await member.ask("state"))["council_session"]
        await member.end()
        member.config.write_text(text)
        await member.start()
        await until(tier, formed)

    play(tmp_path, job)


def test_leaving_in_order_is_no_death(tmp_path: Path) -> None:
    async def job(tier: Tier) -> None:
        await tier.members["n4"].ask("leave")
        await tier.members["n4"].end()
        found = await mark(tier.members["n0"], "after")
        assert "n4" not in await proof(tier, found["position"])
        await until(tier, lambda states: all(len(state["alive"]) == 4 for state in states.values()))

    tier = play(tmp_path, job)
    assert not [line for member in tier.members.values() for line in member.log if line.endswith("is dead")]
