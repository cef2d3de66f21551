"""An order's life in virtual time: killed proxies, agents and tools, conflicts, loss."""

from random import Random

import pytest

from molereach.fleet.orders import Decided, Order, OrderStateRecord, Verb
from molereach.fleet.rollout.events import Draft
from molereach.fleet.rollout.report import Verdict
from tests.fleet.virtual import MS_US, Fleet, once

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


def drain(order_id: str, server: str = "s1", **more: object) -> Draft:
    return Draft(order_id, Verb.DRAIN, server, "duty", "replaced", **more)  # type: ignore[arg-type]


def undrain(order_id: str, server: str = "s1", **more: object) -> Draft:
    return Draft(order_id, Verb.UNDRAIN, server, "night", "back", **more)  # type: ignore[arg-type]


def reported(fleet: Fleet, draft: Draft, **more: object) -> Verdict:
    tool = fleet.give(draft, **more)  # type: ignore[arg-type]
    fleet.run(lambda: tool.rollout.report is not None)
    assert tool.rollout.report
    fleet.check_report(tool)
    return tool.rollout.report.verdict


@pytest.mark.parametrize("step", STEPS)
def test_proxy_killed_at_a_step_is_named_and_has_the_order_after_its_restart(step: str) -> None:
    """23 runs a step, 207 in all: loss to 20%, and the report equals what each front door did."""
    for seed in range(23):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.2))
        fleet.run(lambda: fleet.now_us > 500 * MS_US)  # noqa: B023
        victim = fleet.random.choice(fleet.names)
        tool = fleet.give(
            drain("o1"),
            on_step=lambda name: fleet.kill_proxy(victim) if name == step else None,  # noqa: B023
        )
        fleet.run(lambda: tool.rollout.report is not None)  # noqa: B023
        fleet.check_report(tool)
        report = tool.rollout.report
        assert report and report.verdict in (Verdict.DONE, Verdict.PARTIAL), report
        if step in STEPS[:5]:  # it was down before it could be told
            each = next(each for each in report.proxies if each.agent == victim)
            assert report.verdict is Verdict.PARTIAL and not each.applied and each.proxy in report.text
            assert each.reported_ago_ms is not None and each.reported_ago_ms > 2000
        fleet.settle()
        record, drained = fleet.final()
        assert once(record, "o1") and drained == [{"s1"}] * 5


@pytest.mark.parametrize("step", STEPS)
def test_order_repeated_after_the_tool_was_killed_at_a_step_is_one_order(step: str) -> None:
    for seed in range(20):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.2))
        fleet.run(lambda: fleet.now_us > 500 * MS_US)  # noqa: B023
        first = fleet.give(drain("o1"), kill_at=step)
        fleet.run(lambda: first.dead)  # noqa: B023
        assert first.dead
        if seed % 2:  # somebody else comes in between: they finish it, or begin before it
            assert reported(fleet, undrain("o2")) in (Verdict.DONE, Verdict.CONFLICT)
        again = reported(fleet, drain("o1"))
        assert again in (Verdict.DONE, Verdict.PARTIAL)
        fleet.settle()
        record, drained = fleet.final()
        assert len(set(map(frozenset, drained))) == 1 and once(record, "o1")


@pytest.mark.parametrize("start", range(0, 1000, 100))
def test_conflicting_pairs_end_in_the_same_orders_and_reports_agree(start: int) -> None:
    """1,000 pairs at once, with loss to 30%, agents and front doors that start anew or are away."""
    for seed in range(start, start + 100):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.3))
        fleet.run(lambda: fleet.now_us > 300 * MS_US)  # noqa: B023
        other = undrain("o2") if seed % 2 else drain("o2", "s2")
        tools = [fleet.give(drain("o1"))]
        fleet.after(fleet.random.randint(0, 200 * MS_US), lambda: tools.append(fleet.give(other)))  # noqa: B023
        for _ in range(3):
            name, at = fleet.random.choice(fleet.names), fleet.random.randint(0, 600 * MS_US)
            what = fleet.random.choice((fleet.restart_agent, fleet.kill_proxy, fleet.away.add))
            fleet.after(at, lambda name=name, what=what: what(name))  # type: ignore[misc]
        fleet.run(lambda: len(tools) == 2 and all(tool.rollout.report for tool in tools))  # noqa: B023
        for tool in tools:
            fleet.check_report(tool)
        fleet.run(lambda: fleet.now_us > 1000 * MS_US)  # noqa: B023  (all faults are over)
        fleet.settle()
        record, drained = fleet.final()
        assert len(set(drained)) == 1
        verdicts = []
        for tool in tools:
            report = tool.rollout.report
            assert report
            verdicts.append(report.verdict)
            decided = once(record, tool.rollout.draft.id)
            if report.verdict in (Verdict.DONE, Verdict.PARTIAL):
                assert decided and report.decided == decided
            elif report.verdict is not Verdict.UNREACHABLE:
                assert decided is None and report.winner
                assert once(record, report.winner.order.id) or "have said that they know" in report.text
        if Verdict.UNREACHABLE not in verdicts:  # one decided, and the other is told of it, or came later
            assert {"s1", "s2"} - drained[0], "a building was left without a server"
            assert any(verdict in (Verdict.DONE, Verdict.PARTIAL) for verdict in verdicts)


def test_two_drains_that_would_empty_a_building_are_not_both_decided() -> None:
    fleet = Fleet(1)
    fleet.run(lambda: fleet.now_us > 300 * MS_US)
    one, two = fleet.give(drain("o1", "s1")), fleet.give(drain("o2", "s2"))
    fleet.run(lambda: bool(one.rollout.report and two.rollout.report))
    reports = [one.rollout.report, two.rollout.report]
    assert sorted(report.verdict.value for report in reports if report) == ["conflict", "done"]
    loser = next(report for report in reports if report and report.verdict is Verdict.CONFLICT)
    assert loser.winner and "east" in loser.text and loser.decided is None
    assert reported(fleet, drain("o3", "s2" if one.rollout.decided else "s1", forced=True)) is Verdict.DONE


def test_loser_that_completed_the_winner_sends_it_before_it_ends() -> None:
    """Its own ballots may be all that anybody knows the winner by."""
    for seed in range(20):
        fleet = Fleet(seed, 0.1)
        fleet.run(lambda: fleet.now_us > 300 * MS_US)  # noqa: B023
        first = fleet.give(drain("o1"), kill_at="accepted")
        fleet.run(lambda: first.dead)  # noqa: B023
        tool = fleet.give(undrain("o2", based_on=0))
        fleet.run(lambda: tool.rollout.report is not None)  # noqa: B023
        report = tool.rollout.report
        assert report
        if report.verdict is Verdict.CONFLICT:
            knowing = sum(agent.order_state.revision >= 1 for agent in fleet.agents.values())
            assert knowing >= 3 or "have said that they know" in report.text


def test_minority_reports_unreachable_and_what_it_knows() -> None:
    fleet = Fleet(2)
    fleet.away |= {"a0", "a1", "a2"}
    assert reported(fleet, drain("o1")) is Verdict.UNREACHABLE
    text = fleet.tools[-1].rollout.report
    assert text and "2 of 5 agents answered, 3 must agree" in text.text
    assert {each.reachability for each in text.proxies if each.agent in fleet.away} == {"unknown"}
    fleet.settle()
    assert once(fleet.final()[0], "o1") is None


def test_majority_lost_after_accepting_is_reported_as_undecided() -> None:
    fleet = Fleet(3)
    fleet.run(lambda: fleet.now_us > 300 * MS_US)
    tool = fleet.give(
        drain("o1"),
        on_step=lambda name: fleet.away.update(("a0", "a1", "a2", "a3")) if name == "accepted" else None,
    )
    fleet.run(lambda: tool.rollout.report is not None)
    report = tool.rollout.report
    assert report and report.verdict is Verdict.UNREACHABLE
    fleet.settle()
    assert reported(fleet, drain("o1")) is Verdict.DONE and once(fleet.final()[0], "o1")


def test_disconnected_agent_is_named_and_its_proxy_is_drained_afterwards() -> None:
    fleet = Fleet(4)
    fleet.run(lambda: fleet.now_us > 300 * MS_US)
    fleet.away.add("a3")
    assert reported(fleet, drain("o1")) is Verdict.PARTIAL
    report = fleet.tools[-1].rollout.report
    assert report and "agent a3" in report.text and report.agents[3].reason == "no answer"
    assert [each.proxy for each in report.proxies if not each.applied] == ["n3"]
    fleet.settle()
    assert fleet.final()[1] == [{"s1"}] * 5


def test_repeat_is_one_order_and_an_id_is_of_one_order_only() -> None:
    fleet = Fleet(5)
    fleet.run(lambda: fleet.now_us > 300 * MS_US)
    assert reported(fleet, drain("o1")) is Verdict.DONE
    assert reported(fleet, undrain("o2")) is Verdict.DONE
    assert reported(fleet, drain("o1")) is Verdict.DONE  # as decided: it does not drain it again
    fleet.settle()
    assert fleet.final()[1] == [frozenset()] * 5 and fleet.final()[0].revision == 2
    assert reported(fleet, undrain("o1")) is Verdict.REJECTED


def test_conflict_by_revision_names_the_winner() -> None:
    fleet = Fleet(6)
    fleet.run(lambda: fleet.now_us > 300 * MS_US)
    assert reported(fleet, drain("o1")) is Verdict.DONE
    assert reported(fleet, undrain("o2", based_on=0)) is Verdict.CONFLICT
    report = fleet.tools[-1].rollout.report
    assert report and report.winner and report.winner.order.id == "o1" and "by duty" in report.text
    assert reported(fleet, undrain("o2", based_on=1)) is Verdict.DONE


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
    fleet.run(lambda: fleet.now_us > 300 * MS_US)
    assert reported(fleet, draft) is Verdict.REJECTED
    report = fleet.tools[-1].rollout.report
    assert report and text in report.text
    fleet.settle()
    assert fleet.final()[0].revision == 0


def test_file_that_names_another_fleet_is_rejected() -> None:
    """A majority of other agents is no majority."""
    fleet = Fleet(8)
    tool = fleet.give(drain("o1"))
    tool.rollout.agents = ("a0", "a1")
    fleet.run(lambda: tool.rollout.report is not None)
    assert tool.rollout.report and tool.rollout.report.verdict is Verdict.REJECTED
    assert "not the fleet of this file" in tool.rollout.report.text


def test_agent_far_behind_adopts_a_complete_record() -> None:
    fleet = Fleet(9)
    order = Order("old", Verb.DRAIN, "s3", "duty", "why", 0)
    state = OrderStateRecord(900, (Decided(700, order),), (Decided(700, order),))
    for name in fleet.names[:3]:
        fleet.adopt(name, state)
    assert reported(fleet, drain("o1")) is Verdict.DONE
    assert fleet.final()[0].revision == 901 and fleet.final()[1] == [{"s1", "s3"}] * 5
