"""What the demo shows on a terminal: a line for each front door, and the ledger."""

from rig.audit import Outcome
from rig.clock import now_us
from rig.world import DoorReport, Report, World

HEAD = f"{'door':<6}{'state':<7}{'served':>8}{'refused':>8}{'failed':>8}{'lost':>6}{'open':>6}" \
       f"{'p50 ms':>8}{'p99 ms':>8}{'cpu s':>7}{'MB':>7}{'starts':>8}"
MOST_FINDINGS = 20


def door_line(door: DoorReport) -> str:
    return (f"{door.name:<6}{door.state:<7}{door.served:>8}{door.refused:>8}{door.failed:>8}{door.lost:>6}"
            f"{door.open:>6}{door.p50_ms:>8.1f}{door.p99_ms:>8.1f}{door.cpu_s:>7.2f}{door.memory_mb:>7.1f}"
            f"{door.starts:>8}")


def live_lines(world: World) -> list[str]:
    passed = max(0.0, (now_us() - world.start_us) / 1e6) if world.start_us else 0.0
    head = f"{min(passed, world.scenario.seconds):5.1f} of {world.scenario.seconds:.1f} s"
    return [head, HEAD, *(door_line(world.door_report(door)) for door in world.doors)]


def ledger_lines(report: Report) -> list[str]:
    """The ledger in words."""
    ledger = report.ledger
    lines = [f"{report.scenario}, seed {report.seed}: {ledger.requests} requests",
             HEAD, *(door_line(door) for door in report.doors)]
    lines += [f"  {outcome.value.replace('_', ' '):<14}{ledger.counts[outcome]:>8}" for outcome in Outcome]
    lines += [f"  rig late by {ledger.late_us / 1000:.1f} ms at most"]
    if not ledger.times_judged:
        lines += [f"the rig was late by {ledger.late_us / 1000:.0f} ms: no verdict on times"]
    lines += [f"broken: {broken.line()}" for broken in ledger.broken[:MOST_FINDINGS]]
    more = sum(ledger.broken_count.values()) - min(len(ledger.broken), MOST_FINDINGS)
    lines += [f"broken: {more} more"] if more > 0 else []
    lines += [f"trouble in the rig: {text}" for text in report.trouble]
    return [*lines, "no rule is broken, every request has one outcome" if report.ok else "NOT in order"]
