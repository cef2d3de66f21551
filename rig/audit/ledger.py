"""What became of all requests, and what was broken: by whom, and the two facts that clash.

Where the rig itself was too late, it gives no verdict on times.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

from rig.facts import Fact

SLACK_US = 50_000  # that each time limit is longer on sockets
TOO_LATE_US = 100_000  # a rig later than this cannot tell times
MOST_BROKEN = 200  # findings that are kept; all are counted


class Rule(Enum):
    """The five rules, and what must hold for the ledger itself."""

    LOST = "no request is lost"
    TWICE = "no effect happens twice"
    DRAIN = "drains are kept"
    COLD = "no cold server is pushed over"
    CEILING = "ceilings are kept"


class Outcome(Enum):
    """What became of a request; each has exactly one."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LOST_TO_KILL = "lost_to_kill"
    CLIENT_GONE = "client_gone"
    UNACCOUNTED = "unaccounted"


@dataclass(slots=True)
class QuotaUse:
    """One customer's use against its quota, in units."""

    customer: str
    asked: float = 0.0
    granted: float = 0.0  # sent on to servers
    entitled: float = 0.0  # what one front door that sees all tries would have sent on
    over: float = 0.0  # the most that it was beyond its quota


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that was broken: by whom (`about`), and the two facts that clash."""

    rule: Rule
    about: str
    text: str
    facts: tuple[Fact, Fact]

    def line(self) -> str:
        return f"{self.rule.value}: {self.about}: {self.text}; {self.facts[0]} against {self.facts[1]}"


@dataclass(slots=True)
class Ledger:
    """What became of all requests, and what was broken."""

    outcomes: dict[str, Outcome] = field(default_factory=dict)
    counts: Counter[Outcome] = field(default_factory=Counter)
    by_door: dict[str, Counter[Outcome]] = field(default_factory=lambda: defaultdict(Counter))
    broken: list[Broken] = field(default_factory=list)
    broken_count: Counter[Rule] = field(default_factory=Counter)
    late_us: int = 0  # how late the rig was at most
    units_over: float = 0.0  # the most that any customer was above its ceiling, in units
    repeats_dropped: int = 0
    quotas: list[QuotaUse] = field(default_factory=list)

    @property
    def quota_over(self) -> float:
        """The most that any customer was beyond its quota, in units."""
        return max((use.over for use in self.quotas), default=0.0)

    @property
    def quota_granted(self) -> float:
        """Units sent on for each that quotas entitled to, over all customers; beyond quotas not counted."""
        entitled = sum(use.entitled for use in self.quotas)
        return sum(min(use.granted, use.entitled) for use in self.quotas) / entitled if entitled else 1.0

    @property
    def slack_us(self) -> int:
        """For a time limit: the protocol's, and by how much the rig may have seen things late."""
        return SLACK_US + self.late_us

    @property
    def times_judged(self) -> bool:
        return self.late_us <= TOO_LATE_US

    @property
    def requests(self) -> int:
        return len(self.outcomes)

    @property
    def unaccounted(self) -> int:
        return self.counts[Outcome.UNACCOUNTED]

    @property
    def ok(self) -> bool:
        return not self.unaccounted and not self.broken_count and self.times_judged

    def note(self, rule: Rule, about: str, text: str, first: Fact, second: Fact) -> None:
        self.broken_count[rule] += 1
        if len(self.broken) < MOST_BROKEN:
            self.broken.append(Broken(rule, about, text, (first, second)))

    def rules_broken(self) -> list[str]:
        return [rule.value for rule in Rule if self.broken_count[rule]]
