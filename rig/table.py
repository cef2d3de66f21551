"""Terminal output of the demo: a table of the front doors, and the audit ledger as lines."""

from collections.abc import Iterable

from rich.table import Table

from rig.audit.ledger import Outcome
from rig.clock import now_us
from rig.world.report import DoorReport, Report
from rig.world.world import World

COLUMNS = (
    "door",
    "state",
    "served",
    "refused",
    "failed",
    "lost",
    "open",
    "p50 ms",
    "p99 ms",
    "cpu s",
    "MB",
    "starts",
)
MAX_VIOLATION_LINES = 20


def doors_table(doors: Iterable[DoorReport], title: str) -> Table:
    """A table with a row for each front door."""
    table = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for number, column in enumerate(COLUMNS):
        table.add_column(column, justify="left" if number < 2 else "right")
    for door in doors:
        counts = map(str, (door.served, door.refused, door.failed, door.lost, door.open))
        table.add_row(
            door.name,
            door.state,
            *counts,
            f"{door.p50_ms:.1f}",
            f"{door.p99_ms:.1f}",
            f"{door.cpu_s:.2f}",
            f"{door.memory_mb:.1f}",
            str(door.starts),
        )
    return table


def live_table(world: World) -> Table:
    """The table of a running world."""
    elapsed_s = max(0.0, (now_us() - world.start_us) / 1e6) if world.start_us else 0.0
    title = f"{min(elapsed_s, world.scenario.seconds):.1f} of {world.scenario.seconds:.1f} s"
    return doors_table(map(world.door_report, world.doors), title)


def ledger_lines(report: Report) -> list[str]:
    """The ledger as lines of text."""
    ledger = report.ledger
    lines = [f"{report.scenario}, seed {report.seed}: {ledger.requests} requests"]
    lines += [f"  {outcome.value.replace('_', ' ')}: {ledger.counts[outcome]}" for outcome in Outcome]
    lines += [f"  rig late by {ledger.late_us / 1000:.1f} ms at most"]
    if not ledger.times_judged:
        lines += [f"the rig was late by {ledger.late_us / 1000:.0f} ms: no verdict on times"]
    lines += [f"broken: {violation.line()}" for violation in ledger.broken[:MAX_VIOLATION_LINES]]
    omitted = sum(ledger.broken_count.values()) - min(len(ledger.broken), MAX_VIOLATION_LINES)
    lines += [f"broken: {omitted} more"] if omitted > 0 else []
    lines += [f"trouble in the rig: {text}" for text in report.trouble]
    return [*lines, "no rule is broken, every request has one outcome" if report.ok else "NOT in order"]
