"""The result of a run: figures of each front door, the audit ledger, and faults of the test bed itself."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from rig.audit.ledger import Ledger, Outcome
from rig.final_poll import LateCounts


@dataclass(slots=True)
class DoorReport:
    """Request counts, latencies and resource use of one front door."""

    name: str
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    open: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    cpu_s: float = 0.0
    memory_mb: float = 0.0
    starts: int = 0
    tracebacks: int = 0
    state: str = "up"
    loop_delay_ms: int = 0
    first_read_ms: int = 0


@dataclass(slots=True)
class Report:
    """The result of a run."""

    scenario: str
    seed: int
    seconds: float
    ledger: Ledger
    doors: list[DoorReport]
    trouble: list[str] = field(default_factory=list)
    mail_lost: int = 0
    mail_delivered: int = 0
    late_counts: LateCounts = field(default_factory=LateCounts)

    @property
    def ok(self) -> bool:
        """Whether the ledger is in order and the test bed had no fault of its own."""
        return self.ledger.ok and not self.trouble

    def json(self) -> dict[str, object]:
        """The fields of the `--json` output: times in milliseconds, CPU in seconds, memory in megabytes."""
        counts = self.ledger.counts
        return {
            "scenario": self.scenario,
            "seed": self.seed,
            "seconds": self.seconds,
            "ok": self.ok,
            "requests": self.ledger.requests,
            "served": counts[Outcome.SERVED],
            "refused": counts[Outcome.REFUSED],
            "failed": counts[Outcome.FAILED],
            "lost_to_kills": counts[Outcome.LOST_TO_KILL],
            "clients_gone": counts[Outcome.CLIENT_GONE],
            "unaccounted": self.ledger.unaccounted,
            "broken_rules": self.ledger.rules_broken(),
            "broken": [violation.line() for violation in self.ledger.broken],
            "rig_late_ms": round(self.ledger.late_us / 1000, 1),
            "times_judged": self.ledger.times_judged,
            "rig_trouble": self.trouble,
            "rig_late_connects": self.late_counts.connects,
            "rig_late_replies": self.late_counts.replies,
            "rig_late_departures": self.late_counts.departures,
            "repeats_dropped": self.ledger.repeats_dropped,
            "most_over_ceiling_units": round(self.ledger.units_over, 2),
            "most_over_quota_units": round(self.ledger.quota_over, 2),
            "quota_granted": round(self.ledger.quota_granted, 4),
            "datagrams_lost": self.mail_lost,
            "datagrams_delivered": self.mail_delivered,
            "doors": [
                {name: getattr(door, name) for name in DoorReport.__dataclass_fields__} for door in self.doors
            ],
        }


def quantile(values_us: Sequence[int], part: float) -> float:
    """A quantile of values in microseconds, in milliseconds; 0 if there are none."""
    ordered = sorted(values_us)
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))] / 1000, 1) if ordered else 0.0
