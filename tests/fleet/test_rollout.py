"""An order's life in virtual time: killed doors, agents and tools, conflicts, loss."""

from random import Random

import pytest

from molereach.fleet.orders import Decided, Order, OrderStateRecord, Verb
from molereach.fleet.rollout.events import Draft
from molereach.fleet.rollout.report import Verdict
from tests.fleet.virtual import MS, Fleet, once

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
def test_door_killed_at_a_step_is_named_and_has_the_order_when_it_is_back(step: str) -> None:
    """23 runs a step, 207 in all: loss to 20%, and the report equals what each front door did."""
    for seed in range(23):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.2))
        fleet.run(lambda: fleet.now_us > 500 * MS)  # noqa: B023
        victim = fleet.random.choice(fleet.names)
        tool = fleet.give(drain("o1"), on_step=lambda name: fleet.kill_door(victim) if name == step else None)  # noqa: B023
        fleet.run(lambda: tool.rollout.report is not None)  # noqa: B023
        fleet.check_report(tool)
        report = tool.rollout.report
        assert report and report.verdict in (Verdict.DONE, Verdict.PARTIAL), report
        if step in STEPS[:5]:  # it was down before it could be told
            word = next(word for word in report.proxies if word.agent == victim)
            assert report.verdict is Verdict.PARTIAL and not word.applied and word.proxy in report.text
            assert word.reported_ago_ms is not None and word.reported_ago_ms > 2000
        fleet.settle()
        book, drained = fleet.final()
        assert once(book, "o1") and drained == [{"s1"}] * 5


@pytest.mark.parametrize("step", STEPS)
def test_tool_killed_at_a_step_and_given_again_is_one_order(step: str) -> None:
    for seed in range(20):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.2))
        fleet.run(lambda: fleet.now_us > 500 * MS)  # noqa: B023
        first = fleet.give(drain("o1"), kill_at=step)
        fleet.run(lambda: first.dead)  # noqa: B023
        assert first.dead
        if seed % 2:  # somebody else comes in between: they finish it, or begin before it
            assert reported(fleet, undrain("o2")) in (Verdict.DONE, Verdict.CONFLICT)
        again = reported(fleet, drain("o1"))
        assert again in (Verdict.DONE, Verdict.PARTIAL)
        fleet.settle()
        book, drained = fleet.final()
        assert len(set(map(frozenset, drained))) == 1 and once(book, "o1")


@pytest.mark.parametrize("start", range(0, 1000, 100))
def test_conflicting_pairs_end_in_the_same_orders_and_no_tool_was_told_otherwise(start: int) -> None:
    """1,000 pairs at once, with loss to 30%, agents and front doors that start anew or are away."""
    for seed in range(start, start + 100):
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.3))
        fleet.run(lambda: fleet.now_us > 300 * MS)  # noqa: B023
        other = undrain("o2") if seed % 2 else drain("o2", "s2")
        tools = [fleet.give(drain("o1"))]
        fleet.after(fleet.random.randint(0, 200 * MS), lambda: tools.append(fleet.give(other)))  # noqa: B023
        for _ in range(3):
            name, at = fleet.random.choice(fleet.names), fleet.random.randint(0, 600 * MS)
            what = fleet.random.choice((fleet.restart_agent, fleet.kill_door, fleet.away.add))
            fleet.after(at, lambda name=name, what=what: what(name))  # type: ignore[misc]
        fleet.run(lambda: len(tools) == 2 and all(tool.rollout.report for tool in tools))  # noqa: B023
        for tool in tools:
            fleet.check_report(tool)
        fleet.run(lambda: fleet.now_us > 1000 * MS)  # noqa: B023  (all faults are over)
        fleet.settle()
        book, drained = fleet.final()
        assert len(set(drained)) == 1
        verdicts = []
        for tool in tools:
            report = tool.rollout.report
            assert report
            verdicts.append(report.verdict)
            stands = once(book, tool.rollout.draft.id)
            if report.verdict in (Verdict.DONE, Verdict.PARTIAL):
                assert stands and report.decided == stands
            elif report.verdict is not Verdict.UNREACHABLE:
                assert stands is None and report.winner
                assert once(book, report.winner.order.id) or "have said that they know" in report.text
        if Verdict.UNREACHABLE not in verdicts:  # one stands, and the other is told of it, or came later
            assert {"s1", "s2"} - drained[0], "a building was left without a server"
            assert any(verdict in (Verdict.DONE, Verdict.PARTIAL) for verdict in verdicts)


def test_two_drains_that_together_would_empty_a_building_do_not_both_stand() -> None:
    fleet = Fleet(1)
    fleet.run(lambda: fleet.now_us > 300 * MS)
    one, two = fleet.give(drain("o1", "s1")), fleet.give(drain("o2", "s2"))
    fleet.run(lambda: bool(one.rollout.report and two.rollout.report))
    reports = [one.rollout.report, two.rollout.report]
    assert sorted(report.verdict.value for report in reports if report) == ["conflict", "done"]
    loser = next(report for report in reports if report and report.verdict is Verdict.CONFLICT)
    assert loser.winner and "east" in loser.text and loser.decided is None
    assert reported(fleet, drain("o3", "s2" if one.rollout.decided else "s1", forced=True)) is Verdict.DONE


def test_loser_that_finished_the_winner_tells_it_before_it_ends() -> None:
    """Its own ballots may be all that anybody knows the winner by."""
    for seed in range(20):
        fleet = Fleet(seed, 0.1)
        fleet.run(lambda: fleet.now_us > 300 * MS)  # noqa: B023
        first = fleet.give(drain("o1"), kill_at="accepted")
        fleet.run(lambda: first.dead)  # noqa: B023
        tool = fleet.give(undrain("o2", based_on=0))
        fleet.run(lambda: tool.rollout.report is not None)  # noqa: B023
        report = tool.rollout.report
        assert report
        if report.verdict is Verdict.CONFLICT:
            knowing = sum(agent.order_state.revision >= 1 for agent in fleet.agents.values())
            assert knowing >= 3 or "have said that they know" in report.text


def test_minority_says_unreachable_and_what_it_knows() -> None:
    fleet = Fleet(2)
    fleet.away |= {"a0", "a1", "a2"}
    assert reported(fleet, drain("o1")) is Verdict.UNREACHABLE
    text = fleet.tools[-1].rollout.report
    assert text and "2 of 5 agents answered, 3 must agree" in text.text
    assert {word.reachability for word in text.proxies if word.agent in fleet.away} == {"unknown"}
    fleet.settle()
    assert once(fleet.final()[0], "o1") is None


def test_majority_that_leaves_after_accepting_is_said_to_be_open() -> None:
    fleet = Fleet(3)
    fleet.run(lambda: fleet.now_us > 300 * MS)
    tool = fleet.give(
        drain("o1"),
        on_step=lambda name: fleet.away.update(("a0", "a1", "a2", "a3")) if name == "accepted" else None,
    )
    fleet.run(lambda: tool.rollout.report is not None)
    report = tool.rollout.report
    assert report and report.verdict is Verdict.UNREACHABLE
    fleet.settle()
    assert reported(fleet, drain("o1")) is Verdict.DONE and once(fleet.final()[0], "o1")


def test_agent_cut_off_is_named_and_its_door_is_drained_when_it_is_back() -> None:
    fleet = Fleet(4)
    fleet.run(lambda: fleet.now_us > 300 * MS)
    fleet.away.add("a3")
    assert reported(fleet, drain("o1")) is Verdict.PARTIAL
    report = fleet.tools[-1].rollout.report
    assert report and "agent a3" in report.text and report.agents[3].reason == "no answer"
    assert [word.proxy for word in report.proxies if not word.applied] == ["n3"]
    fleet.settle()
    assert fleet.final()[1] == [{"s1"}] * 5


def test_repeat_is_one_order_and_an_id_is_of_one_order_only() -> None:
    fleet = Fleet(5)
    fleet.run(lambda: fleet.now_us > 300 * MS)
    assert reported(fleet, drain("o1")) is Verdict.DONE
    assert reported(fleet, undrain("o2")) is Verdict.DONE
    assert reported(fleet, drain("o1")) is Verdict.DONE  # as decided: it does not drain it again
    fleet.settle()
    assert fleet.final()[1] == [frozenset()] * 5 and fleet.final()[0].revision == 2
    assert reported(fleet, undrain("o1")) is Verdict.REJECTED


def test_conflict_by_revision_names_the_winner() -> None:
    fleet = Fleet(6)
    fleet.run(lambda: fleet.now_us > 300 * MS)
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
def test_what_is_not_there_or_late_is_refused(draft: Draft, text: str) -> None:
    fleet = Fleet(7)
    fleet.run(lambda: fleet.now_us > 300 * MS)
    assert reported(fleet, draft) is Verdict.REJECTED
    report = fleet.tools[-1].rollout.report
    assert report and text in report.text
    fleet.settle()
    assert fleet.final()[0].revision == 0


def test_file_that_names_another_fleet_is_refused() -> None:
    """A majority of other agents is no majority."""
    fleet = Fleet(8)
    tool = fleet.give(drain("o1"))
    tool.rollout.agents = ("a0", "a1")
    fleet.run(lambda: tool.rollout.report is not None)
    assert tool.rollout.report and tool.rollout.report.verdict is Verdict.REJECTED
    assert "not the fleet of this file" in tool.rollout.report.text


def test_agent_far_behind_takes_over_a_whole_book() -> None:
    fleet = Fleet(9)
    order = Order("old", Verb.DRAIN, "s3", "duty", "why", 0)
    state = OrderStateRecord(900, (Decided(700, order),), (Decided(700, order),))
    for name in fleet.names[:3]:
        fleet.learn(name, state)
    assert reported(fleet, drain("o1")) is Verdict.DONE
    assert fleet.final()[0].revision == 901 and fleet.final()[1] == [{"s1", "s3"}] * 5
