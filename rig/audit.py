"""The auditor: one outcome for every request, and the five rules, from what others than the doors saw.

It keeps the facts by request, server, front door and customer, and judges when all are in. What it finds
names the request (or server, or customer) and the two facts that clash. Rules and figures: the protocol's
section "The rules on sockets". Where the rig itself was too late, it gives no verdict on times.
"""

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

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
    Repeat,
    Started,
    Told,
    TurnedAway,
)

S = 1_000_000
SLACK_US = 50_000  # that each time limit is longer on sockets
CEILING_SLACK_US = 150_000  # of the ceiling's rate, that its slack is wider by on sockets
CLOSING_US = 500_000  # from when a door that ends closes its listener to when its process is gone
TOO_LATE_US = 100_000  # a rig later than this cannot tell times
TOLD_SHARE = 2 / 3  # of the work that pushed a server over, from front doors that knew of its start
MOST_BROKEN = 200  # findings that are kept; all are counted
EPS = 1e-6


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


OUTCOME_OF = {Kind.SERVED: Outcome.SERVED, Kind.REFUSED: Outcome.REFUSED, Kind.FAILED: Outcome.FAILED}
FATAL = (Down.KILLED, Down.CRASHED, Down.STOPPED)


@dataclass(frozen=True, slots=True)
class Ceiling:
    """A plan's hard ceiling for one customer, over all front doors together."""

    rate: float  # units a second
    burst: float  # units
    slack: float  # units that it may go below nothing


@dataclass(frozen=True, slots=True)
class Quota:
    """A plan's quota for one customer, over all front doors together; what goes beyond it is told."""

    rate: float
    burst: float


@dataclass(slots=True)
class QuotaUse:
    """One customer's use against its quota, in units."""

    customer: str
    asked: float = 0.0
    granted: float = 0.0  # sent on to servers
    entitled: float = 0.0  # what one front door that sees all tries would have sent on
    over: float = 0.0  # the most that it was beyond its quota


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of the rules."""

    drain_us: int = 1 * S
    fall_multiple: float = 2.5
    fall_us: int = 1 * S
    ceilings: dict[str, Ceiling] = field(default_factory=dict)  # by plan
    quotas: dict[str, Quota] = field(default_factory=dict)  # by plan; what they say is told, not judged


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

    def rules_broken(self) -> list[str]:
        return [rule.value for rule in Rule if self.broken_count[rule]]


@dataclass(slots=True)
class _Request:
    """The facts about one request id."""

    asks: list[Asked] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    ends: list[Ended] = field(default_factory=list)
    left: Left | None = None
    arrivals: list[Arrived] = field(default_factory=list)
    turned: list[TurnedAway] = field(default_factory=list)
    runs: list[Ran] = field(default_factory=list)

    def sort(self) -> None:
        """Journals come in any order; what happened first is judged first."""
        journals: tuple[list[Any], ...] = (
            self.asks, self.answers, self.ends, self.arrivals, self.turned, self.runs)
        for facts in journals:
            facts.sort(key=lambda fact: (fact.at_us, str(fact)))


class Auditor:
    """Takes facts in any order, and tells the ledger once all are in."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.requests: dict[str, _Request] = defaultdict(_Request)
        self.arrivals: dict[str, list[Arrived]] = defaultdict(list)  # by server
        self.started: dict[str, list[Started]] = defaultdict(list)
        self.fell: list[Fell] = []
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)  # by front door and server
        self.ups: dict[str, list[DoorUp]] = defaultdict(list)
        self.downs: dict[str, list[DoorDown]] = defaultdict(list)
        self.made: set[tuple[bytes, str]] = set()  # values, and the requests that they were given for
        self.extras: list[Extra] = []
        self.ledger = Ledger()

    def feed(self, facts: Iterable[Fact]) -> None:
        for fact in facts:
            self.take(fact)

    def take(self, fact: Fact) -> None:
        match fact:
            case Asked():
                self.requests[fact.id].asks.append(fact)
            case Answered():
                self.requests[fact.id].answers.append(fact)
            case Ended():
                self.requests[fact.id].ends.append(fact)
            case Left():
                self.requests[fact.id].left = fact
            case Arrived():
                self.requests[fact.id].arrivals.append(fact)
                self.arrivals[fact.server].append(fact)
            case TurnedAway():
                self.requests[fact.id].turned.append(fact)
            case Ran():
                self.requests[fact.id].runs.append(fact)
                self.made.add((fact.value, fact.id))
            case Repeat():
                self.ledger.repeats_dropped += 1
                self.made.add((fact.value, fact.id))
            case Started():
                self.started[fact.server].append(fact)
            case Fell():
                self.fell.append(fact)
            case Told():
                self.told[fact.door, fact.server].append(fact)
            case DoorUp():
                self.ups[fact.door].append(fact)
            case DoorDown():
                self.downs[fact.door].append(fact)
            case Extra():
                self.extras.append(fact)
            case Late():
                self.ledger.late_us = max(self.ledger.late_us, fact.by_us)

    # --- the verdict ---

    def judge(self) -> Ledger:
        """The ledger of all that was fed; call it once."""
        for name, request in self.requests.items():
            if request.asks:
                request.sort()
                self.judge_outcome(name, request)
                self.judge_effects(name, request)
        for extra in self.extras:
            self.note(Rule.LOST, extra.door, extra.text, extra, extra)
        for downs in self.downs.values():
            for down in downs:
                if down.how is Down.CRASHED:
                    self.note(Rule.LOST, down.door, "the front door crashed", down, down)
        if self.ledger.times_judged:
            self.judge_drains()
        self.judge_cold()
        self.judge_ceilings()
        self.count_quotas()
        return self.ledger

    def note(self, rule: Rule, about: str, text: str, first: Fact, second: Fact) -> None:
        self.ledger.broken_count[rule] += 1
        if len(self.ledger.broken) < MOST_BROKEN:
            self.ledger.broken.append(Broken(rule, about, text, (first, second)))

    @property
    def slack_us(self) -> int:
        """For a time limit: the protocol's, and by how much the rig may have seen things late."""
        return SLACK_US + self.ledger.late_us

    # --- rule 1, and the outcome of each request ---

    def judge_outcome(self, name: str, request: _Request) -> None:
        outcome, door = self.outcome(name, request)
        self.ledger.outcomes[name] = outcome
        self.ledger.counts[outcome] += 1
        self.ledger.by_door[door][outcome] += 1
        ask = request.asks[-1]
        if len(request.answers) > 1:
            self.note(Rule.LOST, name, "answered more than once", request.answers[0], request.answers[1])
        for answer in request.answers:
            late = answer.at_us > ask.until_us + self.slack_us
            if late and self.ledger.times_judged and not self.excused(ask.door, ask.at_us, answer.at_us):
                self.note(Rule.LOST, name, "answered after the client's time", ask, answer)
            if answer.kind is Kind.SERVED and (answer.value, name) not in self.made:
                self.note(Rule.LOST, name, "served with what no server made for it", ask, answer)
        if request.answers and self.ledger.times_judged:
            final = request.answers[0]
            for arrival in request.arrivals:
                if arrival.first_us > final.at_us + self.slack_us:
                    self.note(Rule.LOST, name, "sent on after its final answer", final, arrival)

    def outcome(self, name: str, request: _Request) -> tuple[Outcome, str]:
        """What became of it, and at which front door."""
        ask = request.asks[-1]
        if request.answers:
            return OUTCOME_OF[request.answers[0].kind], request.answers[0].door
        gone = request.left
        ended = max((end.at_us for end in request.ends), default=gone.at_us if gone else ask.until_us)
        if self.excused(ask.door, ask.at_us, ended + self.slack_us, 0 if ask.taken else CLOSING_US):
            return Outcome.LOST_TO_KILL, ask.door
        if gone and gone.at_us <= ask.until_us:
            return Outcome.CLIENT_GONE, ask.door
        ends: list[Fact] = [*request.ends, *([gone] if gone else []), ask]
        last = ends[0]
        text = "taken and never answered" if ask.taken else "not taken by a front door that is up"
        self.note(Rule.LOST, name, text, ask, last)
        return Outcome.UNACCOUNTED, ask.door

    def excused(self, door: str, since_us: int, until_us: int, closing_us: int = 0) -> bool:
        """Whether the front door was killed, or held, at any time in between; or had ended before.

        `closing_us`: how long before its end a front door may have closed its listener.
        """
        for down, up_us in self.down_times(door):
            if down.how in FATAL and down.at_us <= until_us and up_us >= since_us:
                return True
            if down.how is Down.ENDED and down.at_us - closing_us <= since_us <= up_us:
                return True
        return False

    def down_times(self, door: str) -> Iterator[tuple[DoorDown, int]]:
        """Each time that it was down, and until when."""
        for down in self.downs.get(door, ()):
            ups = [up.at_us for up in self.ups.get(door, ()) if up.at_us >= down.at_us]
            yield down, min(ups, default=1 << 62)

    # --- rule 2 ---

    def judge_effects(self, name: str, request: _Request) -> None:
        ask = request.asks[0]
        if ask.effect is Effect.SAFE:
            return
        if ask.effect is Effect.UNSAFE and len(request.runs) > 1:
            self.note(Rule.TWICE, name, "an unsafe request ran twice", request.runs[0], request.runs[1])
        if ask.effect is Effect.KEYED:
            self.judge_keyed_runs(name, ask, request.runs)
        unproven: Arrived | None = None  # the first attempt that may have run
        for arrival in request.arrivals:
            if unproven is not None:
                self.judge_second(name, ask, unproven, arrival)
            elif not self.proven(request, arrival):
                unproven = arrival
        refusal = next((answer for answer in request.answers if answer.kind is Kind.REFUSED), None)
        if refusal and unproven and not (ask.effect is Effect.KEYED and ask.group == "all"):
            self.note(Rule.TWICE, name, "refused though it may have run", unproven, refusal)

    @staticmethod
    def proven(request: _Request, arrival: Arrived) -> bool:
        """Whether the server said that this attempt never ran, before anything else was done."""
        return any(turned.server == arrival.server and turned.door == arrival.door
                   and turned.at_us >= arrival.at_us for turned in request.turned)

    def judge_second(self, name: str, ask: Asked, first: Arrived, second: Arrived) -> None:
        if ask.effect is Effect.UNSAFE:
            self.note(Rule.TWICE, name, "an unsafe request sent again though it may have run", first, second)
        elif ask.group == "zone" and first.zone != second.zone:
            self.note(Rule.TWICE, name, "a keyed request sent again outside its group", first, second)
        elif self.ledger.times_judged and second.first_us > first.at_us + ask.window_us + self.slack_us:
            self.note(Rule.TWICE, name, "a keyed request sent again after its window", first, second)

    def judge_keyed_runs(self, name: str, ask: Asked, runs: list[Ran]) -> None:
        """Two runs in one window are two effects; a later one is another effect by the key's own terms."""
        for first, second in itertools.pairwise(runs):
            if second.at_us - first.at_us < ask.window_us:
                self.note(Rule.TWICE, name, "a keyed request ran twice", first, second)

    # --- rule 3 ---

    def judge_drains(self) -> None:
        for (door, server), tellings in self.told.items():
            tellings.sort(key=lambda fact: fact.at_us)
            mine = [arrival for arrival in self.arrivals.get(server, ()) if arrival.door == door]
            for arrival in mine:
                since_us = self.process_since(door, arrival.first_us)
                before = [telling for telling in tellings if since_us <= telling.at_us <= arrival.first_us]
                drain = first_of_last_run(before)
                if drain and arrival.first_us > drain.at_us + self.figures.drain_us + self.slack_us:
                    text = f"sent to {server} after {door} was told"
                    self.note(Rule.DRAIN, arrival.id, text, drain, arrival)

    def process_since(self, door: str, at_us: int) -> int:
        """When the process of that time was started: what its predecessor was told is not its own."""
        starts = [up.at_us for up in self.ups.get(door, ()) if not up.again and up.at_us <= at_us]
        return max(starts, default=0)

    # --- rule 4 ---

    def judge_cold(self) -> None:
        for fell in self.fell:
            start = max((start for start in self.started.get(fell.server, ()) if start.at_us <= fell.at_us),
                        key=lambda fact: fact.at_us, default=None)
            if start and self.knew_share(fell, start) >= TOLD_SHARE:
                self.note(Rule.COLD, fell.server, "pushed over while it was cold", start, fell)

    def knew_share(self, fell: Fell, start: Started) -> float:
        """The share of the work that pushed a server over, from front doors that were told of its start."""
        since = max(start.at_us, fell.at_us - self.figures.fall_us)
        pushed = [arrival for arrival in self.arrivals.get(fell.server, ())
                  if since <= arrival.at_us <= fell.at_us]
        total = sum(arrival.work_us for arrival in pushed)
        knew = sum(arrival.work_us for arrival in pushed if any(
            start.at_us <= telling.at_us <= arrival.at_us
            for telling in self.told.get((arrival.door, fell.server), ())
        ))
        return knew / total if total else 0.0

    # --- rule 5 ---

    def judge_ceilings(self) -> None:
        firsts: dict[tuple[str, str], list[tuple[Arrived, Asked]]] = defaultdict(list)
        for request in self.requests.values():
            if request.asks and request.arrivals and request.asks[0].plan in self.figures.ceilings:
                first = min(request.arrivals, key=lambda fact: fact.at_us)
                ask = request.asks[0]
                firsts[ask.plan, ask.customer].append((first, ask))
        for (plan, customer), sent in firsts.items():
            self.judge_ceiling(self.figures.ceilings[plan], customer, sent)

    def judge_ceiling(self, ceiling: Ceiling, customer: str, sent: list[tuple[Arrived, Asked]]) -> None:
        """One customer's store: it starts full, fills at the rate, and each first attempt takes its units."""
        sent.sort(key=lambda pair: pair[0].at_us)
        late_us = CEILING_SLACK_US + self.ledger.late_us
        lowest = -ceiling.slack - ceiling.rate * late_us / S
        level, at_us, previous = ceiling.burst, sent[0][0].at_us, sent[0][0]
        for arrival, ask in sent:
            level = min(ceiling.burst, level + ceiling.rate * (arrival.at_us - at_us) / S) - ask.units
            at_us = arrival.at_us
            self.ledger.units_over = max(self.ledger.units_over, -level)
            if level < lowest - EPS:
                self.note(Rule.CEILING, f"customer {customer}",
                          f"{-level:.1f} units above its ceiling, {-lowest:.1f} allowed", previous, arrival)
            previous = arrival


    # --- quotas: counted, not judged ---

    def count_quotas(self) -> None:
        tries: dict[tuple[str, str], list[tuple[Asked, int | None]]] = defaultdict(list)
        for request in self.requests.values():
            if request.asks and request.asks[0].plan in self.figures.quotas:
                ask = request.asks[0]
                sent = min((arrival.at_us for arrival in request.arrivals), default=None)
                tries[ask.plan, ask.customer].append((ask, sent))
        for (plan, customer), each in tries.items():
            self.ledger.quotas.append(quota_use(self.figures.quotas[plan], customer, each))


def quota_use(quota: Quota, customer: str, tries: list[tuple[Asked, int | None]]) -> QuotaUse:
    """One customer's tries, with when each was sent on, against a store that is full at the first of them."""
    use = QuotaUse(customer, asked=sum(ask.units for ask, _ in tries))
    level, at_us = quota.burst, 0
    for ask in sorted((ask for ask, _ in tries), key=lambda ask: ask.at_us):
        level, at_us = min(quota.burst, level + quota.rate * (ask.at_us - at_us) / S), ask.at_us
        if level >= ask.units:
            level, use.entitled = level - ask.units, use.entitled + ask.units
    level, at_us = quota.burst, 0
    for sent_us, units in sorted((sent, ask.units) for ask, sent in tries if sent is not None):
        level = min(quota.burst, level + quota.rate * (sent_us - at_us) / S) - units
        at_us, use.granted, use.over = sent_us, use.granted + units, max(use.over, -level)
    return use


def first_of_last_run(tellings: list[Told]) -> Told | None:
    """The first word of the drain that is still on; None where the last word is that it serves."""
    first: Told | None = None
    for telling in tellings:
        if telling.state is Listed.SERVING:
            first = None
        elif first is None:
            first = telling
    return first
