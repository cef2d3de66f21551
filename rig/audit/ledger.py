"""The audit ledger: the outcome of each request, and all violations of the rules.

If the test bed itself ran too late, the ledger gives no verdict on times.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

from rig.facts import Fact

TIME_LIMIT_SLACK_US = 50_000  # added to each time limit, for delays on sockets
MAX_LATENESS_US = 100_000  # times observed by a test bed that ran later than this are not reliable
MAX_VIOLATIONS = 200  # that are stored; all are counted


class Rule(Enum):
    """The five rules; the values appear in reports."""

    LOST = "no request is lost"
    TWICE = "no effect happens twice"
    DRAIN = "drains are kept"
    COLD = "no cold server is pushed over"
    CEILING = "ceilings are kept"


class Outcome(Enum):
    """The outcome of a request; each has exactly one."""

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
    entitled: float = 0.0  # what a single front door that sees all requests would have sent on
    over: float = 0.0  # largest excess over its quota


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule: the request, server or customer, and two facts that contradict each other."""

    rule: Rule
    about: str
    text: str
    facts: tuple[Fact, Fact]

    def line(self) -> str:
        """One line for reports."""
        return f"{self.rule.value}: {self.about}: {self.text}; {self.facts[0]} against {self.facts[1]}"


@dataclass(slots=True)
class Ledger:
    """Outcomes of all requests, and violations of the rules."""

    outcomes: dict[str, Outcome] = field(default_factory=dict)
    counts: Counter[Outcome] = field(default_factory=Counter)
    by_door: dict[str, Counter[Outcome]] = field(default_factory=lambda: defaultdict(Counter))
    broken: list[Violation] = field(default_factory=list)
    broken_count: Counter[Rule] = field(default_factory=Counter)
    late_us: int = 0  # largest lateness of the test bed
    units_over: float = 0.0  # largest excess of any customer over its ceiling, in units
    repeats_dropped: int = 0
    quotas: list[QuotaUse] = field(default_factory=list)

    @property
    def quota_over(self) -> float:
        """Largest excess of any customer over its quota, in units."""
        return max((use.over for use in self.quotas), default=0.0)

    @property
    def quota_granted(self) -> float:
        """The share of the entitled units that were sent on, over all customers; excess is not counted."""
        entitled = sum(use.entitled for use in self.quotas)
        return sum(min(use.granted, use.entitled) for use in self.quotas) / entitled if entitled else 1.0

    @property
    def slack_us(self) -> int:
        """Slack of time limits: that of the protocol, plus the largest lateness of the test bed."""
        return TIME_LIMIT_SLACK_US + self.late_us

    @property
    def times_judged(self) -> bool:
        """Whether the test bed was on time, so that times can be checked."""
        return self.late_us <= MAX_LATENESS_US

    @property
    def requests(self) -> int:
        """The number of requests."""
        return len(self.outcomes)

    @property
    def unaccounted(self) -> int:
        """The number of requests without an explained outcome."""
        return self.counts[Outcome.UNACCOUNTED]

    @property
    def ok(self) -> bool:
        """Whether all requests are accounted for, no rule is broken and times could be checked."""
        return not self.unaccounted and not self.broken_count and self.times_judged

    def add_violation(self, rule: Rule, about: str, text: str, first: Fact, second: Fact) -> None:
        """Count a violation, and store it unless the ledger is full."""
        self.broken_count[rule] += 1
        if len(self.broken) < MAX_VIOLATIONS:
            self.broken.append(Violation(rule, about, text, (first, second)))

    def rules_broken(self) -> list[str]:
        """The texts of all rules that were broken."""
        return [rule.value for rule in Rule if self.broken_count[rule]]
