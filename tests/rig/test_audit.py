"""The auditor: worlds made to break each rule once, and worlds that only look as if."""

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
FIGURES = RuleParameters(ceilings={"bulk": Ceiling(rate=10.0, burst=5.0, slack=2.0)})


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
    auditor = Auditor(FIGURES)
    auditor.feed(facts)
    return auditor.audit()


def only(ledger: Ledger, rule: Rule) -> tuple[str, str, tuple[Fact, Fact]]:
    """The one finding, which is of this rule: about whom, why, and the facts that clash."""
    assert [broken.rule for broken in ledger.broken] == [rule]
    found = ledger.broken[0]
    assert found.about in found.line() and rule.value in found.line()
    return found.about, found.text, found.facts


GOOD_RUN = ran(10 * MS)
GOOD: tuple[Fact, ...] = (asked(), arrived(10 * MS), GOOD_RUN, served(40 * MS, GOOD_RUN))


def test_good_day_is_in_order() -> None:
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
    assert only(ledger, Rule.LOST) == ("a", "taken and never answered", (ask, left))
    assert ledger.unaccounted == 1 and not ledger.ok


def test_connection_that_ends_before_the_answer_loses_the_request() -> None:
    ended = Ended(50 * MS, "a", "n0")
    assert only(audit(asked(), ended), Rule.LOST)[2] == (asked(), ended)


def test_lost_to_a_kill_is_told_from_lost() -> None:
    """Killed between the last byte to a server and its answer: the client's to retry, though it has run."""
    sent = (DoorUp(-1, "n0"), asked(), arrived(10 * MS), ran(10 * MS))
    killed, ended = DoorDown(20 * MS, "n0", Down.KILLED), Ended(21 * MS, "a", "n0")
    ledger = audit(*sent, killed, ended)
    assert ledger.ok and ledger.outcomes["a"] is Outcome.LOST_TO_KILL
    for other in (replace(killed, door="n1"), replace(killed, at_us=3 * S)):
        assert only(audit(*sent, other, ended), Rule.LOST)[0] == "a"
    before = (DoorDown(-20 * MS, "n0", Down.KILLED), DoorUp(-10 * MS, "n0"))
    assert only(audit(*before, *sent, ended), Rule.LOST)[0] == "a"  # killed, and up again before it was asked


def test_end_in_order_excuses_nothing_that_was_taken() -> None:
    ended, told = Ended(30 * MS, "a", "n0"), DoorDown(30 * MS, "n0", Down.ENDED)
    assert only(audit(asked(), ended, told), Rule.LOST)[0] == "a"
    late = asked(40 * MS, "b", taken=False)
    ledger = audit(told, late, Ended(41 * MS, "b", "n0"))
    assert ledger.ok and ledger.outcomes["b"] is Outcome.LOST_TO_KILL


def test_refused_connection_of_a_door_that_is_up_is_lost() -> None:
    ask = asked(taken=False)
    assert "not taken" in only(audit(DoorUp(-1, "n0"), ask, Ended(1, "a", "n0")), Rule.LOST)[1]


def test_crash_breaks_the_rule_though_it_explains_what_was_lost() -> None:
    crash = DoorDown(20 * MS, "n0", Down.CRASHED)
    ledger = audit(asked(), crash, Ended(21 * MS, "a", "n0"))
    assert only(ledger, Rule.LOST)[0] == "n0" and ledger.outcomes["a"] is Outcome.LOST_TO_KILL


def test_stopped_door_excuses_what_it_held_and_no_more() -> None:
    stop, go_on = DoorDown(20 * MS, "n0", Down.STOPPED), DoorUp(500 * MS, "n0", again=True)
    ledger = audit(asked(), stop, go_on, Left(3 * S, "a", "n0"))
    assert ledger.ok and ledger.outcomes["a"] is Outcome.LOST_TO_KILL
    assert only(audit(stop, go_on, asked(S), Left(4 * S, "a", "n0")), Rule.LOST)[0] == "a"


def test_second_answer_is_found() -> None:
    extra = refused(60 * MS)
    twice = audit(*GOOD, replace(extra, kind=Kind.FAILED))
    assert only(twice, Rule.LOST)[1] == "answered more than once"
    assert only(audit(*GOOD, Extra(S, "n0", "an answer that nobody waits for")), Rule.LOST)[0] == "n0"


def test_answer_after_the_clients_time_is_found() -> None:
    late = served(2 * S + 51 * MS, GOOD_RUN)
    ask = asked()
    assert only(audit(*GOOD[:3], late), Rule.LOST) == ("a", "answered after the client's time", (ask, late))
    assert audit(*GOOD[:3], served(2 * S + 49 * MS, GOOD_RUN)).ok


def test_value_that_no_server_made_for_it_is_found() -> None:
    other = ran(12 * MS, name="b")
    assert "no server made" in only(audit(*GOOD[:3], served(40 * MS, other), other), Rule.LOST)[1]


def test_attempt_after_the_final_answer_is_found() -> None:
    after = arrived(200 * MS, "s2")
    ask = asked(effect=Effect.SAFE)
    ledger = audit(ask, *GOOD[1:], after)
    assert only(ledger, Rule.LOST) == ("a", "sent on after its final answer", (GOOD[3], after))


# --- no effect happens twice ---


@pytest.mark.parametrize("door", ["n0", "n1"])
def test_unsafe_request_that_ran_twice_is_found(door: str) -> None:
    """Also where two front doors sent it."""
    first, second = ran(10 * MS), ran(30 * MS, "s2", door=door)
    ledger = audit(asked(), first, second, served(40 * MS, first))
    assert only(ledger, Rule.TWICE) == ("a", "an unsafe request ran twice", (first, second))


def test_unsafe_request_sent_again_in_doubt_is_found_though_it_ran_once() -> None:
    first, second, run = arrived(10 * MS), arrived(30 * MS, "s2"), ran(30 * MS, "s2")
    rest = (asked(), first, second, run, served(60 * MS, run))
    assert only(audit(*rest), Rule.TWICE)[2] == (first, second)
    assert audit(*rest, TurnedAway(20 * MS, "a", "s1", "n0")).ok  # known never to have run


def test_refusal_of_what_may_have_run_is_found() -> None:
    first, refusal = arrived(10 * MS), refused(50 * MS)
    assert only(audit(asked(), first, refusal), Rule.TWICE)[2] == (first, refusal)
    assert audit(asked(), first, TurnedAway(11 * MS, "a", "s1", "n0"), refusal).ok
    assert audit(asked(effect=Effect.SAFE), first, refusal).ok
    keyed = asked(effect=Effect.KEYED, key="k")
    assert only(audit(keyed, first, refusal), Rule.TWICE)[0] == "a"
    assert audit(replace(keyed, group="all"), first, refusal).ok


def test_keyed_request_keeps_to_group_and_window() -> None:
    ask = asked(effect=Effect.KEYED, key="k", until_us=60 * S)
    run = ran(10 * MS, key="k")
    rest = (ask, arrived(10 * MS), run)
    near, far = arrived(S, "s2"), arrived(S, "s3", zone="z2")
    assert audit(*rest, near, served(2 * S, run)).ok
    assert "outside its group" in only(audit(*rest, far, served(2 * S, run)), Rule.TWICE)[1]
    assert audit(replace(ask, group="all"), *rest[1:], far, served(2 * S, run)).ok
    old = arrived(15 * S + 100 * MS, "s2")
    assert "after its window" in only(audit(*rest, old, served(16 * S, run)), Rule.TWICE)[1]


def test_keyed_request_that_ran_twice_in_its_window_is_found() -> None:
    first, second = ran(10 * MS, key="k"), ran(S, "s2", key="k")
    ask = asked(effect=Effect.KEYED, key="k")
    ledger = audit(ask, arrived(10 * MS), arrived(S, "s2"), first, second, served(S + 40 * MS, second))
    assert only(ledger, Rule.TWICE)[2] == (first, second)


# --- drains are kept ---

DRAIN = Told(0, "n0", "s1", Listed.DRAINING)


def sent_at(at: int, server: str = "s1") -> tuple[Fact, ...]:
    run = ran(at, server)
    return asked(at - MS, effect=Effect.SAFE), arrived(at, server), run, served(at + MS, run)


def test_send_after_a_drain_is_found() -> None:
    late = sent_at(S + 60 * MS)
    assert only(audit(DRAIN, *late), Rule.DRAIN)[2] == (DRAIN, late[1])
    assert audit(DRAIN, *sent_at(S + 40 * MS)).ok
    assert only(audit(replace(DRAIN, state=Listed.DELETED), *late), Rule.DRAIN)[0] == "a"


def test_drain_counts_from_its_first_word_until_its_end() -> None:
    again = replace(DRAIN, at_us=900 * MS, state=Listed.DELETED)
    assert only(audit(DRAIN, again, *sent_at(1500 * MS)), Rule.DRAIN)[2][0] == DRAIN
    serves = replace(DRAIN, at_us=1400 * MS, state=Listed.SERVING)
    assert audit(DRAIN, serves, *sent_at(1500 * MS)).ok
    for other in (replace(DRAIN, door="n1"), replace(DRAIN, server="s2"), replace(DRAIN, at_us=2 * S)):
        assert audit(other, *sent_at(1500 * MS)).ok


def test_what_a_dead_process_was_told_does_not_bind_its_successor() -> None:
    restart = (DoorDown(100 * MS, "n0", Down.KILLED), DoorUp(500 * MS, "n0"))
    assert audit(DRAIN, *restart, *sent_at(1500 * MS)).ok
    held = (DoorDown(100 * MS, "n0", Down.STOPPED), DoorUp(500 * MS, "n0", again=True))
    assert only(audit(DRAIN, *held, *sent_at(1500 * MS)), Rule.DRAIN)[0] == "a"


# --- no cold server is pushed over ---


def test_cold_server_that_falls_is_found_if_the_doors_knew() -> None:
    start, fell = Started(0, "s1", 2.0, 0.25, 8 * S), Fell(S, "s1", 3 * S, S)
    told = Told(100 * MS, "n0", "s1", Listed.SERVING)
    push = [
        fact
        for number in range(9)
        for fact in (
            asked(500 * MS, f"r{number}", Effect.SAFE),
            arrived(600 * MS, name=f"r{number}"),
            refused(700 * MS, f"r{number}"),
        )
    ]
    assert only(audit(start, told, *push, fell), Rule.COLD) == (
        "s1",
        "pushed over while it was cold",
        (start, fell),
    )
    assert audit(start, *push, fell).ok  # nobody had been told of its start
    half = [
        replace(fact, door="n1") if isinstance(fact, Arrived) and number % 2 else fact
        for number, fact in enumerate(push)
    ]
    assert audit(start, replace(told, door="n1"), *half, fell).ok  # five ninths knew


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


def test_ceiling_over_all_doors_together() -> None:
    """Five at once, two of slack and what 150 ms give: 8.5 units."""
    assert audit(*burst(8)).ok
    about, text, facts = only(audit(*burst(9)), Rule.CEILING)
    assert about == "customer c1" and "4.0 units above" in text and len(set(facts)) == 2
    assert audit(*burst(8), *burst(8, customer="c2")).ok
    assert audit(*burst(100, every_us=S // 10)).ok  # at its rate for ever
    assert not audit(*burst(100, every_us=S // 12)).ok
    assert not audit(*burst(5, units=2.0)).ok


def test_only_first_attempts_take_from_the_ceiling() -> None:
    again = [arrived(4 * S, "s2", f"c1r{number}", f"n{number % 3}") for number in range(30)]
    early = [
        replace(fact, at_us=fact.at_us + 4 * S) if isinstance(fact, Answered) else fact
        for fact in burst(30, every_us=S // 10, until_us=9 * S)
    ]
    assert audit(*early, *again).ok


# --- the rig itself ---


def test_late_rig_gives_no_verdict_on_times() -> None:
    late, answer = Late(S, 150 * MS), served(3 * S, GOOD_RUN)
    for facts in ((*GOOD[:3], answer), (DRAIN, *sent_at(1500 * MS)), (*GOOD, arrived(2 * S))):
        assert audit(*facts).broken
        ledger = audit(*facts, late)
        assert Rule.DRAIN not in ledger.broken_count and Rule.LOST not in ledger.broken_count
        assert not ledger.times_judged and not ledger.ok  # neither broken nor in order
    assert only(audit(late, asked(), Left(3 * S, "a", "n0")), Rule.LOST)[0] == "a"


def test_rig_that_is_a_little_late_widens_what_it_allows() -> None:
    answer = served(2 * S + 90 * MS, GOOD_RUN)
    assert audit(*GOOD[:3], answer).broken and audit(*GOOD[:3], answer, Late(S, 50 * MS)).ok


def test_one_outcome_for_a_request_that_was_sent_once_more() -> None:
    again = (asked(), Ended(10 * MS, "a", "n0", again=True), asked(11 * MS))
    run = ran(15 * MS)
    ledger = audit(*again, arrived(15 * MS), run, served(40 * MS, run))
    assert ledger.ok and ledger.requests == 1
    assert only(audit(*again, Left(3 * S, "a", "n0")), Rule.LOST)[0] == "a"


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
def test_order_of_the_journals_does_not_matter(facts: list[Fact]) -> None:
    found = audit(*facts)
    first = audit(*sorted(facts, key=lambda fact: (fact.at_us, str(fact))))
    assert found.outcomes == first.outcomes and found.counts == first.counts
    assert found.broken_count == first.broken_count
    assert sum(found.counts.values()) == found.requests
