"""What a day came to: each front door's figures, the ledger, and the rig's own trouble."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from rig.audit.ledger import Ledger, Outcome


@dataclass(slots=True)
class DoorReport:
    """What one front door did and took."""

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


@dataclass(slots=True)
class Report:
    """A world's end."""

    scenario: str
    seed: int
    seconds: float
    ledger: Ledger
    doors: list[DoorReport]
    trouble: list[str] = field(default_factory=list)
    mail_lost: int = 0
    mail_delivered: int = 0

    @property
    def ok(self) -> bool:
        return self.ledger.ok and not self.trouble

    def json(self) -> dict[str, object]:
        """One object for machines; times in milliseconds, CPU in seconds, memory in megabytes."""
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
            "broken": [broken.line() for broken in self.ledger.broken],
            "rig_late_ms": round(self.ledger.late_us / 1000, 1),
            "times_judged": self.ledger.times_judged,
            "rig_trouble": self.trouble,
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


def quantile(values: Sequence[int], part: float) -> float:
    """In milliseconds; 0 of nothing."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))] / 1000, 1) if ordered else 0.0
