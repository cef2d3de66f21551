"""The auditor: facts that break each rule once, and similar facts that break none."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rig.audit.auditor import Auditor
from rig.audit.figures import Ceiling, RuleParameters
from rig.audit.ledger import Ledger, Outcome, Rule
from rig.facts import (
    Answered,
    Arrived,
    Asked,
    DoorDown,
    DoorUp,
    Down,
    Effect,
    Ended,
    Extra,
    Fact,
    Fell,
    Kind,
    Late,
    Left,
    Listed,
    Ran,
    Started,
    Told,
    TurnedAway,
)

S = 1_000_000
MS = 1_000
PARAMETERS = RuleParameters(ceilings={"bulk": Ceiling(rate=10.0, burst=5.0, slack=2.0)})


def asked(
    at: int = 0, name: str = "a", effect: Effect = Effect.UNSAFE, door: str = "n0", **more: object
) -> Asked:
    ask = Asked(at, name, door, "c1", effect, "zone", 15 * S, "basic", 1.0, at + 2 * S)
    return replace(ask, **more)  # type: ignore[arg-type]


def arrived(at: int, server: str = "s1", name: str = "a", door: str = "n0", zone: str = "z1") -> Arrived:
    return Arrived(at, name, server, zone, door, at, 20 * MS)


def ran(at: int, server: str = "s1", name: str = "a", door: str = "n0", key: str = "") -> Ran:
    return Ran(at, name, server, door, "c1", "1", key, f"{server}.{name}.{at}".encode())


def served(at: int, run: Ran, name: str = "a", door: str = "n0") -> Answered:
    return Answered(at, name, door, Kind.SERVED, run.value)


def refused(at: int, name: str = "a", door: str = "n0") -> Answered:
    return Answered(at, name, door, Kind.REFUSED)


def audit(*facts: Fact) -> Ledger:
    auditor = Auditor(PARAMETERS)
    auditor.feed(facts)
    return auditor.audit()


def single_violation(ledger: Ledger, rule: Rule) -> tuple[str, str, tuple[Fact, Fact]]:
    """The only violation, which must be of this rule: its subject, text and facts."""
    assert [violation.rule for violation in ledger.broken] == [rule]
    violation = ledger.broken[0]
    assert violation.about in violation.line() and rule.value in violation.line()
    return violation.about, violation.text, violation.facts


GOOD_RUN = ran(10 * MS)
GOOD: tuple[Fact, ...] = (asked(), arrived(10 * MS), GOOD_RUN, served(40 * MS, GOOD_RUN))


def test_valid_run_has_no_violations() -> None:
    ledger = audit(
        DoorUp(-1, "n0"),
        *GOOD,
        asked(5, "b"),
        refused(9, "b"),
        asked(6, "c"),
        Answered(50, "c", "n0", Kind.FAILED),
        asked(7, "d"),
        Left(60 * MS, "d", "n0"),
    )
    assert ledger.ok and ledger.requests == 4
    assert [ledger.outcomes[name] for name in "abcd"] == [
        Outcome.SERVED,
        Outcome.REFUSED,
        Outcome.FAILED,
        Outcome.CLIENT_GONE,
    ]


# --- no request is lost ---


def test_request_without_an_answer_is_lost() -> None:
    ask, left = asked(), Left(3 * S, "a", "n0")
    ledger = audit(DoorUp(-1, "n0"), ask, arrived(10 * MS), ran(10 * MS), left)
    assert single_violation(ledger, Rule.LOST) == ("a", "taken and never answered", (ask, left))
    assert ledger.unaccounted == 1 and not ledger.ok


def test_connection_that_ends_before_the_answer_loses_the_request() -> None:
    ended = Ended(50 * MS, "a", "n0")
    assert single_violation(audit(asked(), ended), Rule.LOST)[2] == (asked(), ended)


def test_request_lost_to_a_kill_is_no_violation() -> None:
    """A front door killed before it answers is no violation: the client may retry, though the request ran."""
    sent = (DoorUp(-1, "n0"), asked(), arrived(10 * MS), ran(10 * MS))
    killed, ended = DoorDown(20 * MS, "n0", Down.KILLED), Ended(21 * MS, "a", "n0")
    ledger = audit(*sent, killed, ended)
    assert ledger.ok and ledger.outcomes["a"] is Outcome.LOST_TO_KILL
    for other in (replace(killed, door="n1"), replace(killed, at_us=3 * S)):
        assert single_violation(audit(*sent, other, ended), Rule.LOST)[0] == "a"
    before = (DoorDown(-20 * MS, "n0", Down.KILLED), DoorUp(-10 * MS, "n0"))
    # A kill and a restart before the request excuse nothing.
    assert single_violation(audit(*before, *sent, ended), Rule.LOST)[0] == "a"


def test_graceful_end_does_not_excuse_a_request_already_taken() -> None:
    ended, told = Ended(30 * MS, "a", "n0"), DoorDown(30 * MS, "n0", Down.ENDED)
    assert single_violation(audit(asked(), ended, told), Rule.LOST)[0] == "a"
    late = asked(40 * MS, "b", taken=False)
    ledger = audit(told, late, Ended(41 * MS, "b", "n0"))
    assert ledger.ok and ledger.outcomes["b"] is Outcome.LOST_TO_KILL


def test_refused_connection_at_a_running_front_door_is_a_violation() -> None:
    ask = asked(taken=False)
    assert "not taken" in single_violation(audit(DoorUp(-1, "n0"), ask, Ended(1, "a", "n0")), Rule.LOST)[1]


def test_crash_is_a_violation_and_explains_lost_requests() -> None:
    crash = DoorDown(20 * MS, "n0", Down.CRASHED)
    ledger = audit(asked(), crash, Ended(21 * MS, "a", "n0"))
    assert single_violation(ledger, Rule.LOST)[0] == "n0" and ledger.outcomes["a"] is Outcome.LOST_TO_KILL


def test_stop_excuses_requests_before_it_and_none_after_it() -> None:
    stop, resumed = DoorDown(20 * MS, "n0", Down.STOPPED), DoorUp(500 * MS, "n0", again=True)
    ledger = audit(asked(), stop, resumed, Left(3 * S, "a", "n0"))
    assert ledger.ok and ledger.outcomes["a"] is Outcome.LOST_TO_KILL
    assert single_violation(audit(stop, resumed, asked(S), Left(4 * S, "a", "n0")), Rule.LOST)[0] == "a"


def test_second_answer_is_a_violation() -> None:
    extra = refused(60 * MS)
    ledger = audit(*GOOD, replace(extra, kind=Kind.FAILED))
    assert single_violation(ledger, Rule.LOST)[1] == "answered more than once"
    assert (
        single_violation(audit(*GOOD, Extra(S, "n0", "an answer that nobody waits for")), Rule.LOST)[0]
        == "n0"
    )


def test_answer_after_the_client_deadline_is_a_violation() -> None:
    late = served(2 * S + 51 * MS, GOOD_RUN)
    ask = asked()
    assert single_violation(audit(*GOOD[:3], late), Rule.LOST) == (
        "a",
        "answered after the client's time",
        (ask, late),
    )
    assert audit(*GOOD[:3], served(2 * S + 49 * MS, GOOD_RUN)).ok


def test_value_from_no_server_is_a_violation() -> None:
    other = ran(12 * MS, name="b")
    assert "no server made" in single_violation(audit(*GOOD[:3], served(40 * MS, other), other), Rule.LOST)[1]


def test_attempt_after_the_final_answer_is_a_violation() -> None:
    after = arrived(200 * MS, "s2")
    ask = asked(effect=Effect.SAFE)
    ledger = audit(ask, *GOOD[1:], after)
    assert single_violation(ledger, Rule.LOST) == ("a", "sent on after its final answer", (GOOD[3], after))


# --- no effect happens twice ---


@pytest.mark.parametrize("door", ["n0", "n1"])
def test_unsafe_request_executed_twice_is_a_violation(door: str) -> None:
    """Both executions count, also if two front doors sent the request."""
    first, second = ran(10 * MS), ran(30 * MS, "s2", door=door)
    ledger = audit(asked(), first, second, served(40 * MS, first))
    assert single_violation(ledger, Rule.TWICE) == ("a", "an unsafe request ran twice", (first, second))


def test_unsafe_request_retried_after_a_possible_run_is_a_violation() -> None:
    first, second, run = arrived(10 * MS), arrived(30 * MS, "s2"), ran(30 * MS, "s2")
    rest = (asked(), first, second, run, served(60 * MS, run))
    assert single_violation(audit(*rest), Rule.TWICE)[2] == (first, second)
    # No violation if the first server rejected the request.
    assert audit(*rest, TurnedAway(20 * MS, "a", "s1", "n0")).ok


def test_refusal_after_a_possible_run_is_a_violation() -> None:
    first, refusal = arrived(10 * MS), refused(50 * MS)
    assert single_violation(audit(asked(), first, refusal), Rule.TWICE)[2] == (first, refusal)
    assert audit(asked(), first, TurnedAway(11 * MS, "a", "s1", "n0"), refusal).ok
    assert audit(asked(effect=Effect.SAFE), first, refusal).ok
    keyed = asked(effect=Effect.KEYED, key="k")
    assert single_violation(audit(keyed, first, refusal), Rule.TWICE)[0] == "a"
    assert audit(replace(keyed, group="all"), first, refusal).ok


def test_keyed_request_must_stay_in_its_group_and_window() -> None:
    ask = asked(effect=Effect.KEYED, key="k", until_us=60 * S)
    run = ran(10 * MS, key="k")
    rest = (ask, arrived(10 * MS), run)
    near, far = arrived(S, "s2"), arrived(S, "s3", zone="z2")
    assert audit(*rest, near, served(2 * S, run)).ok
    assert "outside its group" in single_violation(audit(*rest, far, served(2 * S, run)), Rule.TWICE)[1]
    assert audit(replace(ask, group="all"), *rest[1:], far, served(2 * S, run)).ok
    old = arrived(15 * S + 100 * MS, "s2")
    assert "after its window" in single_violation(audit(*rest, old, served(16 * S, run)), Rule.TWICE)[1]


def test_keyed_request_executed_twice_in_its_window_is_a_violation() -> None:
    first, second = ran(10 * MS, key="k"), ran(S, "s2", key="k")
    ask = asked(effect=Effect.KEYED, key="k")
    ledger = audit(ask, arrived(10 * MS), arrived(S, "s2"), first, second, served(S + 40 * MS, second))
    assert single_violation(ledger, Rule.TWICE)[2] == (first, second)


# --- drains are kept ---

DRAIN = Told(0, "n0", "s1", Listed.DRAINING)


def sent_at(at: int, server: str = "s1") -> tuple[Fact, ...]:
    run = ran(at, server)
    return asked(at - MS, effect=Effect.SAFE), arrived(at, server), run, served(at + MS, run)


def test_attempt_after_a_drain_is_a_violation() -> None:
    late = sent_at(S + 60 * MS)
    assert single_violation(audit(DRAIN, *late), Rule.DRAIN)[2] == (DRAIN, late[1])
    assert audit(DRAIN, *sent_at(S + 40 * MS)).ok
    assert single_violation(audit(replace(DRAIN, state=Listed.DELETED), *late), Rule.DRAIN)[0] == "a"


def test_drain_counts_from_its_first_fact_until_its_end() -> None:
    again = replace(DRAIN, at_us=900 * MS, state=Listed.DELETED)
    assert single_violation(audit(DRAIN, again, *sent_at(1500 * MS)), Rule.DRAIN)[2][0] == DRAIN
    serves = replace(DRAIN, at_us=1400 * MS, state=Listed.SERVING)
    assert audit(DRAIN, serves, *sent_at(1500 * MS)).ok
    for other in (replace(DRAIN, door="n1"), replace(DRAIN, server="s2"), replace(DRAIN, at_us=2 * S)):
        assert audit(other, *sent_at(1500 * MS)).ok


def test_restarted_process_is_not_bound_by_what_the_earlier_one_was_told() -> None:
    restart = (DoorDown(100 * MS, "n0", Down.KILLED), DoorUp(500 * MS, "n0"))
    assert audit(DRAIN, *restart, *sent_at(1500 * MS)).ok
    held = (DoorDown(100 * MS, "n0", Down.STOPPED), DoorUp(500 * MS, "n0", again=True))
    assert single_violation(audit(DRAIN, *held, *sent_at(1500 * MS)), Rule.DRAIN)[0] == "a"


# --- no cold server is overloaded ---


def test_overload_of_a_cold_server_is_a_violation_if_front_doors_were_told_of_its_start() -> None:
    start, fell = Started(0, "s1", 2.0, 0.25, 8 * S), Fell(S, "s1", 3 * S, S)
    told = Told(100 * MS, "n0", "s1", Listed.SERVING)
    overload = [
        fact
        for number in range(9)
        for fact in (
            asked(500 * MS, f"r{number}", Effect.SAFE),
            arrived(600 * MS, name=f"r{number}"),
            refused(700 * MS, f"r{number}"),
        )
    ]
    assert single_violation(audit(start, told, *overload, fell), Rule.COLD) == (
        "s1",
        "pushed over while it was cold",
        (start, fell),
    )
    assert audit(start, *overload, fell).ok  # no front door was told of its start
    half = [
        replace(fact, door="n1") if isinstance(fact, Arrived) and number % 2 else fact
        for number, fact in enumerate(overload)
    ]
    # No violation: only four ninths of the work came from the front door that was told.
    assert audit(start, replace(told, door="n1"), *half, fell).ok


# --- ceilings are kept ---


def burst(count: int, every_us: int = 0, customer: str = "c1", **more: object) -> list[Fact]:
    facts: list[Fact] = []
    for number in range(count):
        name, at, door = f"{customer}r{number}", number * every_us, f"n{number % 3}"
        facts += [
            asked(at, name, Effect.SAFE, door, plan="bulk", customer=customer, **more),
            arrived(at, name=name, door=door),
            refused(at + MS, name, door),
        ]
    return facts


def test_ceiling_applies_over_all_front_doors_together() -> None:
    """A burst of 5 units, 2 of slack and 1.5 that refill in 150 ms: 8.5 units in total."""
    assert audit(*burst(8)).ok
    about, text, facts = single_violation(audit(*burst(9)), Rule.CEILING)
    assert about == "customer c1" and "4.0 units above" in text and len(set(facts)) == 2
    assert audit(*burst(8), *burst(8, customer="c2")).ok
    assert audit(*burst(100, every_us=S // 10)).ok  # exactly at its rate
    assert not audit(*burst(100, every_us=S // 12)).ok
    assert not audit(*burst(5, units=2.0)).ok


def test_only_first_attempts_count_against_the_ceiling() -> None:
    again = [arrived(4 * S, "s2", f"c1r{number}", f"n{number % 3}") for number in range(30)]
    early = [
        replace(fact, at_us=fact.at_us + 4 * S) if isinstance(fact, Answered) else fact
        for fact in burst(30, every_us=S // 10, until_us=9 * S)
    ]
    assert audit(*early, *again).ok


# --- lateness of the test bed, resent requests and order ---


def test_late_test_bed_gives_no_verdict_on_times() -> None:
    late, answer = Late(S, 150 * MS), served(3 * S, GOOD_RUN)
    for facts in ((*GOOD[:3], answer), (DRAIN, *sent_at(1500 * MS)), (*GOOD, arrived(2 * S))):
        assert audit(*facts).broken
        ledger = audit(*facts, late)
        assert Rule.DRAIN not in ledger.broken_count and Rule.LOST not in ledger.broken_count
        assert not ledger.times_judged and not ledger.ok  # no verdict
    assert single_violation(audit(late, asked(), Left(3 * S, "a", "n0")), Rule.LOST)[0] == "a"


def test_slight_lateness_of_the_test_bed_widens_time_limits() -> None:
    answer = served(2 * S + 90 * MS, GOOD_RUN)
    assert audit(*GOOD[:3], answer).broken and audit(*GOOD[:3], answer, Late(S, 50 * MS)).ok


def test_resent_request_has_one_outcome() -> None:
    again = (asked(), Ended(10 * MS, "a", "n0", again=True), asked(11 * MS))
    run = ran(15 * MS)
    ledger = audit(*again, arrived(15 * MS), run, served(40 * MS, run))
    assert ledger.ok and ledger.requests == 1
    assert single_violation(audit(*again, Left(3 * S, "a", "n0")), Rule.LOST)[0] == "a"


@given(
    st.permutations(
        [
            *GOOD,
            DRAIN,
            *burst(9),
            *sent_at(3 * S, "s9")[1:],
            DoorUp(-1, "n0"),
            asked(S, "lost"),
            Left(4 * S, "lost", "n0"),
        ]
    )
)
def test_order_of_facts_does_not_matter(facts: list[Fact]) -> None:
    shuffled = audit(*facts)
    ordered = audit(*sorted(facts, key=lambda fact: (fact.at_us, str(fact))))
    assert shuffled.outcomes == ordered.outcomes and shuffled.counts == ordered.counts
    assert shuffled.broken_count == ordered.broken_count
    assert sum(shuffled.counts.values()) == shuffled.requests
