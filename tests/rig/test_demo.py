"""The demo's report of a run, and its exit codes."""

from rig import scenario_files as sc
from rig.audit.ledger import Ledger, Outcome, Rule, Violation
from rig.demo import BROKEN, DONE, NO_VERDICT, exit_code
from rig.facts import Left
from rig.mail import Datagram
from rig.table import ledger_lines
from rig.world.report import DoorReport, Report, quantile
from rig.world.world import World


def report(ledger: Ledger, *trouble: str) -> Report:
    return Report("calm", 1, 10.0, ledger, [DoorReport("n0", served=1, p50_ms=3.0)], list(trouble))


def broken_ledger() -> Ledger:
    fact = Left(1, "a", "n0")
    ledger = Ledger(broken=[Violation(Rule.LOST, "a", "taken and never answered", (fact, fact))])
    ledger.broken_count[Rule.LOST] = 30
    return ledger


def test_exit_codes() -> None:
    unaccounted = Ledger()
    unaccounted.counts[Outcome.UNACCOUNTED] = 1
    late = Ledger(late_us=150_000)
    assert exit_code(report(Ledger())) == DONE and exit_code(report(late)) == NO_VERDICT
    failed_reports = (
        report(broken_ledger()),
        report(unaccounted),
        report(Ledger(), "a fault"),
        report(late, "a fault"),
    )
    for failed in failed_reports:
        assert exit_code(failed) == BROKEN and failed.json()["ok"] is False


def test_late_test_bed_is_reported_and_gives_no_verdict() -> None:
    lines = ledger_lines(report(Ledger(late_us=150_000)))
    assert "the rig was late by 150 ms: no verdict on times" in lines and lines[-1] == "NOT in order"
    assert ledger_lines(report(Ledger()))[-1].startswith("no rule is broken")


def test_violations_are_listed_and_counted() -> None:
    lines = ledger_lines(report(broken_ledger(), "a fault"))
    assert any("no request is lost: a: taken and never answered" in line for line in lines)
    assert "broken: 29 more" in lines and "trouble in the rig: a fault" in lines
    output = report(broken_ledger()).json()
    assert output["broken_rules"] == ["no request is lost"] and len(str(output["broken"])) > 50


def test_oversized_datagram_is_a_violation() -> None:
    world = World(sc.load("calm"), 1)
    try:
        assert world.report().ok
        world.network.model.handle(0, Datagram(0, 1, 257, (0.5, 0.5, 0.5, 0.5)))
        result = world.report()
        assert not result.ok and "1 datagrams of more than 256 bytes" in str(result.json()["broken"])
    finally:
        world.close()


def test_quantiles_are_in_milliseconds() -> None:
    assert quantile([], 0.5) == 0.0
    assert (quantile(range(1000, 101_000, 1000), 0.5), quantile([5000], 0.99)) == (51.0, 5.0)
