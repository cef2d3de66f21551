"""Rollouts in virtual time: killed proxies, agents and tools, conflicting orders, and message loss."""

from random import Random

import pytest

from molereach.fleet.orders import Decided, Order, OrderStateRecord, Verb
from molereach.fleet.rollout.events import Draft
from molereach.fleet.rollout.report import Verdict
from tests.fleet.virtual import US_PER_MS, Fleet, find_once

STEPS = (
    "looking",
    "judged",
    "promised",
    "accepting",
    "accepted",
    "decided",
    "told",
    "confirming",
    "reported",
)


def drain(order_id: str, server: str = "s1", **fields: object) -> Draft:
    return Draft(order_id, Verb.DRAIN, server, "duty", "replaced", **fields)  # type: ignore[arg-type]


def undrain(order_id: str, server: str = "s1", **fields: object) -> Draft:
    return Draft(order_id, Verb.UNDRAIN, server, "night", "back", **fields)  # type: ignore[arg-type]


def run_rollout(fleet: Fleet, draft: Draft, **options: object) -> Verdict:
    tool = fleet.start_tool(draft, **options)  # type: ignore[arg-type]
    fleet.run(lambda: tool.rollout.report is not None)
    assert tool.rollout.report
    fleet.check_report(tool)
    return tool.rollout.report.verdict


@pytest.mark.parametrize("step", STEPS)
def test_proxy_killed_at_a_step_is_reported_and_has_the_order_after_its_restart(step: str) -> None:
    """23 runs for each of 9 steps, 207 in all, with up to 20% loss; no report claims what did not happen."""
    for seed in range(23):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.2))
        fleet.run(lambda: fleet.now_us > 500 * US_PER_MS)  # noqa: B023
        victim = fleet.random.choice(fleet.names)
        tool = fleet.start_tool(
            drain("o1"),
            on_step=lambda name: fleet.kill_proxy(victim) if name == step else None,  # noqa: B023
        )
        fleet.run(lambda: tool.rollout.report is not None)  # noqa: B023
        fleet.check_report(tool)
        report = tool.rollout.report
        assert report and report.verdict in (Verdict.DONE, Verdict.PARTIAL), report
        if step in STEPS[:5]:  # killed before it could be sent the order
            killed = next(proxy for proxy in report.proxies if proxy.agent == victim)
            assert report.verdict is Verdict.PARTIAL and not killed.applied and killed.proxy in report.text
            assert killed.reported_ago_ms is not None and killed.reported_ago_ms > 2000
        fleet.recover()
        record, drained = fleet.final_state()
        assert find_once(record, "o1") and drained == [{"s1"}] * 5


@pytest.mark.parametrize("step", STEPS)
def test_order_repeated_after_its_tool_was_killed_is_decided_once(step: str) -> None:
    for seed in range(20):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.2))
        fleet.run(lambda: fleet.now_us > 500 * US_PER_MS)  # noqa: B023
        first = fleet.start_tool(drain("o1"), kill_at=step)
        fleet.run(lambda: first.killed)  # noqa: B023
        assert first.killed
        if seed % 2:  # another tool runs in between: it completes the order, or proposes its own before it
            assert run_rollout(fleet, undrain("o2")) in (Verdict.DONE, Verdict.CONFLICT)
        verdict = run_rollout(fleet, drain("o1"))
        assert verdict in (Verdict.DONE, Verdict.PARTIAL)
        fleet.recover()
        record, drained = fleet.final_state()
        assert len(set(map(frozenset, drained))) == 1 and find_once(record, "o1")


@pytest.mark.parametrize("first_seed", range(0, 1000, 100))
def test_conflicting_orders_leave_one_state_and_reports_agree_with_it(first_seed: int) -> None:
    """1,000 pairs of concurrent orders, with up to 30% loss, restarts, and unreachable agents."""
    for seed in range(first_seed, first_seed + 100):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.3))
        fleet.run(lambda: fleet.now_us > 300 * US_PER_MS)  # noqa: B023
        other = undrain("o2") if seed % 2 else drain("o2", "s2")
        tools = [fleet.start_tool(drain("o1"))]
        fleet.after(fleet.random.randint(0, 200 * US_PER_MS), lambda: tools.append(fleet.start_tool(other)))  # noqa: B023
        for _ in range(3):
            name, delay_us = fleet.random.choice(fleet.names), fleet.random.randint(0, 600 * US_PER_MS)
            fault = fleet.random.choice((fleet.restart_agent, fleet.kill_proxy, fleet.unreachable.add))
            fleet.after(delay_us, lambda name=name, fault=fault: fault(name))  # type: ignore[misc]
        fleet.run(lambda: len(tools) == 2 and all(tool.rollout.report for tool in tools))  # noqa: B023
        for tool in tools:
            fleet.check_report(tool)
        fleet.run(lambda: fleet.now_us > 1000 * US_PER_MS)  # noqa: B023  (after the last fault)
        fleet.recover()
        record, drained = fleet.final_state()
        assert len(set(drained)) == 1
        verdicts = []
        for tool in tools:
            report = tool.rollout.report
            assert report
            verdicts.append(report.verdict)
            decided = find_once(record, tool.rollout.draft.id)
            if report.verdict in (Verdict.DONE, Verdict.PARTIAL):
                assert decided and report.decided == decided
            elif report.verdict is not Verdict.UNREACHABLE:
                assert decided is None and report.winner
                assert find_once(record, report.winner.order.id) or "have said that they know" in report.text
        if Verdict.UNREACHABLE not in verdicts:  # at least one order is decided
            assert {"s1", "s2"} - drained[0], "a building was left without a server"
            assert any(verdict in (Verdict.DONE, Verdict.PARTIAL) for verdict in verdicts)


def test_only_one_of_two_drains_that_would_empty_a_building_is_decided() -> None:
    fleet = Fleet(1)
    fleet.run(lambda: fleet.now_us > 300 * US_PER_MS)
    first, second = fleet.start_tool(drain("o1", "s1")), fleet.start_tool(drain("o2", "s2"))
    fleet.run(lambda: bool(first.rollout.report and second.rollout.report))
    reports = [first.rollout.report, second.rollout.report]
    assert sorted(report.verdict.value for report in reports if report) == ["conflict", "done"]
    loser = next(report for report in reports if report and report.verdict is Verdict.CONFLICT)
    assert loser.winner and "east" in loser.text and loser.decided is None
    assert (
        run_rollout(fleet, drain("o3", "s2" if first.rollout.decided else "s1", forced=True)) is Verdict.DONE
    )


def test_rejected_rollout_sends_the_winner_to_a_majority_before_it_ends() -> None:
    """Its own ballots may have decided the winner, and no agent may know of that yet."""
    for seed in range(20):
        fleet = Fleet(seed, 0.1)
        fleet.run(lambda: fleet.now_us > 300 * US_PER_MS)  # noqa: B023
        first = fleet.start_tool(drain("o1"), kill_at="accepted")
        fleet.run(lambda: first.killed)  # noqa: B023
        tool = fleet.start_tool(undrain("o2", based_on=0))
        fleet.run(lambda: tool.rollout.report is not None)  # noqa: B023
        report = tool.rollout.report
        assert report
        if report.verdict is Verdict.CONFLICT:
            notified = sum(agent.order_state.revision >= 1 for agent in fleet.agents.values())
            assert notified >= 3 or "have said that they know" in report.text


def test_minority_is_reported_as_unreachable_with_what_is_known() -> None:
    fleet = Fleet(2)
    fleet.unreachable |= {"a0", "a1", "a2"}
    assert run_rollout(fleet, drain("o1")) is Verdict.UNREACHABLE
    report = fleet.tools[-1].rollout.report
    assert report and "2 of 5 agents answered, 3 must agree" in report.text
    assert {proxy.reachability for proxy in report.proxies if proxy.agent in fleet.unreachable} == {"unknown"}
    fleet.recover()
    assert find_once(fleet.final_state()[0], "o1") is None


def test_majority_lost_after_accepting_is_reported_as_unreachable() -> None:
    fleet = Fleet(3)
    fleet.run(lambda: fleet.now_us > 300 * US_PER_MS)
    tool = fleet.start_tool(
        drain("o1"),
        on_step=lambda name: (
            fleet.unreachable.update(("a0", "a1", "a2", "a3")) if name == "accepted" else None
        ),
    )
    fleet.run(lambda: tool.rollout.report is not None)
    report = tool.rollout.report
    assert report and report.verdict is Verdict.UNREACHABLE
    fleet.recover()
    assert run_rollout(fleet, drain("o1")) is Verdict.DONE and find_once(fleet.final_state()[0], "o1")


def test_disconnected_agent_is_reported_and_its_proxy_drains_after_it_returns() -> None:
    fleet = Fleet(4)
    fleet.run(lambda: fleet.now_us > 300 * US_PER_MS)
    fleet.unreachable.add("a3")
    assert run_rollout(fleet, drain("o1")) is Verdict.PARTIAL
    report = fleet.tools[-1].rollout.report
    assert report and "agent a3" in report.text and report.agents[3].reason == "no answer"
    assert [proxy.proxy for proxy in report.proxies if not proxy.applied] == ["n3"]
    fleet.recover()
    assert fleet.final_state()[1] == [{"s1"}] * 5


def test_repeated_order_is_decided_once_and_its_id_cannot_be_reused() -> None:
    fleet = Fleet(5)
    fleet.run(lambda: fleet.now_us > 300 * US_PER_MS)
    assert run_rollout(fleet, drain("o1")) is Verdict.DONE
    assert run_rollout(fleet, undrain("o2")) is Verdict.DONE
    assert run_rollout(fleet, drain("o1")) is Verdict.DONE  # reported as decided, without draining again
    fleet.recover()
    assert fleet.final_state()[1] == [frozenset()] * 5 and fleet.final_state()[0].revision == 2
    assert run_rollout(fleet, undrain("o1")) is Verdict.REJECTED


def test_conflict_by_revision_names_the_winner() -> None:
    fleet = Fleet(6)
    fleet.run(lambda: fleet.now_us > 300 * US_PER_MS)
    assert run_rollout(fleet, drain("o1")) is Verdict.DONE
    assert run_rollout(fleet, undrain("o2", based_on=0)) is Verdict.CONFLICT
    report = fleet.tools[-1].rollout.report
    assert report and report.winner and report.winner.order.id == "o1" and "by duty" in report.text
    assert run_rollout(fleet, undrain("o2", based_on=1)) is Verdict.DONE


@pytest.mark.parametrize(
    ("draft", "text"),
    [
        (drain("o1", "s9"), "no front door that answers lists s9"),
        (Draft("o1", Verb.HOLD, "n9", "duty", "why"), "no agent that answers knows a front door n9"),
        (drain("o1", lapses_ms=1), "its time is over"),
    ],
)
def test_unknown_subject_and_lapsed_order_are_rejected(draft: Draft, text: str) -> None:
    fleet = Fleet(7)
    fleet.run(lambda: fleet.now_us > 300 * US_PER_MS)
    assert run_rollout(fleet, draft) is Verdict.REJECTED
    report = fleet.tools[-1].rollout.report
    assert report and text in report.text
    fleet.recover()
    assert fleet.final_state()[0].revision == 0


def test_fleet_file_with_other_agents_is_rejected() -> None:
    """A majority of the agents in a wrong file need not be a majority of the fleet."""
    fleet = Fleet(8)
    tool = fleet.start_tool(drain("o1"))
    tool.rollout.agents = ("a0", "a1")
    fleet.run(lambda: tool.rollout.report is not None)
    assert tool.rollout.report and tool.rollout.report.verdict is Verdict.REJECTED
    assert "not the fleet of this file" in tool.rollout.report.text


def test_agents_and_proxies_far_behind_adopt_a_complete_record() -> None:
    fleet = Fleet(9)
    order = Order("old", Verb.DRAIN, "s3", "duty", "why", 0)
    state = OrderStateRecord(900, (Decided(700, order),), (Decided(700, order),))
    for name in fleet.names[:3]:
        fleet.adopt(name, state)
    assert run_rollout(fleet, drain("o1")) is Verdict.DONE
    assert fleet.final_state()[0].revision == 901 and fleet.final_state()[1] == [{"s1", "s3"}] * 5
