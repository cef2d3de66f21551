"""Clusters of processes under faults: lost connections, stalls, delays, suspended and killed processes.

Tests wait for conditions, not for fixed times; at the end they check the members' logs and states for events
that must not occur.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from rig.council.tier import Member, Tier

WAIT_TIMEOUT_S = 20.0  # reached only if the cluster hangs
PROPOSAL_TIMEOUT_US = 15_000_000
States = dict[str, dict[str, Any]]
Scenario = Callable[[Tier], Awaitable[None]]


def run_cluster(
    folder: Path, scenario: Scenario, count: int = 5, voters: int = 5, faulty: bool = False, **options: int
) -> Tier:
    """Start a cluster, run a scenario once it has formed, stop it and check the logs for errors."""
    cluster = Tier(folder, count, voters, faulty, **options)

    async def run() -> None:
        async with asyncio.timeout(60):
            try:
                await cluster.start()
                await wait_until(cluster, is_formed)
                await scenario(cluster)
            finally:
                await cluster.close()

    asyncio.run(run())
    lines = [line for member in cluster.members.values() for line in member.log]
    assert not [line for line in lines if "Traceback" in line or "cannot carry out" in line]
    return cluster


def is_formed(states: States) -> bool:
    """Whether there is one leader, and all members hold sessions and see each other."""
    leaders = [name for name, state in states.items() if state["council_leads"]]
    return len(leaders) == 1 and all(
        state["council_session"] and len(state["alive"]) == len(states) for state in states.values()
    )


async def wait_until(cluster: Tier, condition: Callable[[States], bool]) -> States:
    """Poll the members' states until a condition holds; return the states."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition(states := await cluster.states()):
            await asyncio.sleep(0.01)
    return states


async def propose_mark(member: Member, name: str) -> dict[str, Any]:
    """Have a member propose a mark; its answer once the mark is applied."""
    answer = await member.ask("mark", id=name, within_us=PROPOSAL_TIMEOUT_US)
    assert answer["over"] == "settled", answer
    return answer


async def find_leader(cluster: Tier) -> str:
    """The name of the leader; waits for an election if there is none."""
    states = await wait_until(
        cluster, lambda states: any(state["council_leads"] for state in states.values())
    )
    return next(name for name, state in states.items() if state["council_leads"])


async def wait_for_proof(cluster: Tier, position: int) -> dict[str, str]:
    """The leader's proof that the entry at `position` is in effect everywhere, by proxy name."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            answer = await cluster.members[await find_leader(cluster)].ask("account", position=position)
            if answer["proof"] is not None:
                return dict(answer["proof"])
            await asyncio.sleep(0.02)


def have_same_state(states: States) -> bool:
    """Whether all members have applied the same position with the same result."""
    return len({(state["council_position"], state["digest"]) for state in states.values()}) == 1


def test_proposals_are_applied_although_the_leader_is_killed(tmp_path: Path) -> None:
    async def scenario(cluster: Tier) -> None:
        first_leader = await find_leader(cluster)
        others = [member for name, member in cluster.members.items() if name != first_leader]
        proposals = [
            asyncio.create_task(propose_mark(others[number % 4], f"m{number}")) for number in range(12)
        ]
        cluster.members[first_leader].signal(signal.SIGKILL)
        await asyncio.gather(*proposals)
        await cluster.members[first_leader].end()
        last = await propose_mark(others[0], "last")
        states = await wait_until(
            cluster,
            lambda states: (
                have_same_state(states) and all(len(state["alive"]) == 4 for state in states.values())
            ),
        )
        for state in states.values():
            assert sorted(state["marks"]) == sorted([*(f"m{number}" for number in range(12)), "last"])
        evidence = await wait_for_proof(cluster, last["position"])
        assert (
            evidence.pop(first_leader, "over") == "over"
            and set(evidence.values()) == {"said"}
            and len(evidence) == 4
        )

    run_cluster(tmp_path, scenario)


def test_a_suspended_learner_is_covered_by_the_end_of_its_session_and_returns(tmp_path: Path) -> None:
    async def scenario(cluster: Tier) -> None:
        suspended = cluster.members["n5"]
        previous_token = (await suspended.ask("state"))["council_session"]
        suspended.signal(signal.SIGSTOP)
        answer = await propose_mark(cluster.members["n0"], "while-suspended")
        evidence = await wait_for_proof(cluster, answer["position"])
        assert evidence["n5"] == "over" and set(evidence) == set(cluster.names)
        suspended.signal(signal.SIGCONT)
        states = await wait_until(cluster, lambda states: is_formed(states) and have_same_state(states))
        assert states["n5"]["council_session"] > previous_token and "while-suspended" in states["n5"]["marks"]
        assert any("is not held any more" in line for line in suspended.log)

    run_cluster(tmp_path, scenario, count=6)


def test_a_suspended_leader_catches_up_when_it_resumes(tmp_path: Path) -> None:
    async def scenario(cluster: Tier) -> None:
        first_leader = await find_leader(cluster)
        cluster.members[first_leader].signal(signal.SIGSTOP)
        others = [member for name, member in cluster.members.items() if name != first_leader]
        await propose_mark(others[0], "while-suspended")
        cluster.members[first_leader].signal(signal.SIGCONT)
        states = await wait_until(cluster, lambda states: is_formed(states) and have_same_state(states))
        assert "while-suspended" in states[first_leader]["marks"]

    run_cluster(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["stall", "lose", "one way", "drop", "slow"])
def test_one_bad_connection_makes_no_member_dead(tmp_path: Path, fault: str) -> None:
    async def scenario(cluster: Tier) -> None:
        for relay in cluster.relays_between("n1", "n2"):
            match fault:
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
            await propose_mark(cluster.members[f"n{number % 5}"], f"m{number}")
        await wait_until(cluster, lambda states: is_formed(states) and have_same_state(states))

    cluster = run_cluster(tmp_path, scenario, faulty=True)
    assert not [
        line for member in cluster.members.values() for line in member.log if line.endswith("is dead")
    ]


def test_an_isolated_member_loses_its_session_and_its_proposals_are_not_decided(tmp_path: Path) -> None:
    async def scenario(cluster: Tier) -> None:
        for relay in cluster.relays_of("n4"):
            relay.hold()
            relay.drop()
        undecided = asyncio.create_task(cluster.members["n4"].ask("mark", id="cut-off", within_us=1_500_000))
        answer = await propose_mark(cluster.members["n0"], "with-the-majority")
        assert (await wait_for_proof(cluster, answer["position"]))["n4"] == "over"
        assert (await undecided)["over"] == "unknown"
        assert not (await cluster.members["n4"].ask("state"))["council_session"]
        for relay in cluster.relays_of("n4"):
            relay.clear_faults()
            relay.drop()
        await wait_until(cluster, lambda states: is_formed(states) and have_same_state(states))

    run_cluster(tmp_path, scenario, faulty=True)


def test_a_member_restarts_with_its_folder_and_with_an_emptied_one(tmp_path: Path) -> None:
    async def scenario(cluster: Tier) -> None:
        member = cluster.members["n3"]
        await propose_mark(member, "before")
        await member.end()
        await propose_mark(cluster.members["n0"], "meanwhile")
        await member.start()
        states = await wait_until(cluster, lambda states: is_formed(states) and have_same_state(states))
        assert states["n3"]["marks"] == ["before", "meanwhile"]
        await member.end()
        assert member.folder
        for file in member.folder.iterdir():
            file.unlink()
        await member.start()  # with the disk identity of the initial voter, but without its promises
        await wait_until(cluster, lambda states: is_formed(states) and have_same_state(states))
        assert any("was set back" in line for line in member.log)

    run_cluster(tmp_path, scenario)


def test_a_member_with_a_wrong_key_is_excluded_until_it_has_the_key(tmp_path: Path) -> None:
    async def scenario(cluster: Tier) -> None:
        member = cluster.members["n4"]
        await member.end()
        key, config = cluster.key, member.config.read_text()
        member.config.write_text(config.replace(key, "00" * 16))
        assert member.folder
        other_folder = member.folder.with_name("other")
        other_folder.mkdir(mode=0o700)
        member.config.write_text(member.config.read_text().replace(f'"{member.folder}"', f'"{other_folder}"'))
        await member.start()
        await wait_until(cluster, lambda states: len(states["n0"]["alive"]) == 4)
        assert not (await member.ask("state"))["council_session"]
        await member.end()
        member.config.write_text(config)
        await member.start()
        await wait_until(cluster, is_formed)

    run_cluster(tmp_path, scenario)


def test_a_member_that_leaves_is_not_reported_dead(tmp_path: Path) -> None:
    async def scenario(cluster: Tier) -> None:
        await cluster.members["n4"].ask("leave")
        await cluster.members["n4"].end()
        answer = await propose_mark(cluster.members["n0"], "after")
        assert "n4" not in await wait_for_proof(cluster, answer["position"])
        await wait_until(cluster, lambda states: all(len(state["alive"]) == 4 for state in states.values()))

    cluster = run_cluster(tmp_path, scenario)
    assert not [
        line for member in cluster.members.values() for line in member.log if line.endswith("is dead")
    ]
