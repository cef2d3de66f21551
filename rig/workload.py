"""Open arrivals with a seed: who asks for what and when, drawn ahead and not waiting for answers."""

from dataclasses import dataclass
from random import Random

from rig.facts import Effect

S = 1_000_000
SIGMA = 0.4  # of the logarithm of a request's work


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests."""

    name: str
    effect: Effect
    share: float
    work_ms: float  # mean, of one core
    aim_us: int
    deadline_us: int
    worth: float
    group: str = "all"
    window_us: int = 5 * S

    @property
    def is_write(self) -> bool:
        return self.effect is not Effect.SAFE


@dataclass(frozen=True, slots=True)
class PlanSpec:
    """A plan; quota and ceiling in units and units a second, for each customer over all front doors."""

    name: str
    rate: float
    burst: float
    worth: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


CLASSES = (
    ClassSpec("load-read", Effect.SAFE, 0.36, 24.0, 750_000, 2_000_000, 3.0),
    ClassSpec("capacity-booking", Effect.KEYED, 0.34, 40.0, 1_500_000, 3_000_000, 3.0, "zone", 15 * S),
    ClassSpec("meter-settlement", Effect.UNSAFE, 0.30, 40.0, 1_500_000, 3_000_000, 2.0),
)
PLANS = (
    PlanSpec("basic-tariff", 3.0, 12.0, 0.88),
    PlanSpec("standard-tariff", 6.0, 24.0, 1.3),
    PlanSpec("bulk-tariff", 12.0, 24.0, 1.8, 24.0, 36.0, 4.0),
)


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer: its plan, its set of front doors and how its traffic lies on them."""

    name: str  # 16 hex digits
    plan: PlanSpec
    first: int
    weights: tuple[float, ...]  # one for each door of the set, in order
    share: float  # of all arrivals


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's first try."""

    at_us: int  # from the start of the load
    customer: Customer
    kind: ClassSpec
    patience: float  # part of the class's time that a client gives each try
    gives_up: float  # part of that after which an impatient client leaves; 1 for all others
    draw: float


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """How much is asked for."""

    rate: float = 120.0  # first tries a second
    customers: int = 24
    greedy: float = 0.1  # share of the customers that ask for several times their part
    greedy_times: float = 4.0
    impatient: float = 0.03  # share of requests whose client leaves early
    set_doors: int = 4  # of the largest set


def customers(spec: LoadSpec, doors: int, random: Random) -> list[Customer]:
    """The customers, with shares that sum to 1."""
    drawn: list[tuple[str, PlanSpec, int, tuple[float, ...], float]] = []
    for number in range(spec.customers):
        plan = PLANS[number % len(PLANS)]
        size = random.randint(min(2, doors), min(max(2, spec.set_doors), doors))
        weights = tuple(random.uniform(0.2, 1.0) for _ in range(size))
        weight = plan.rate * (spec.greedy_times if random.random() < spec.greedy else 1.0)
        drawn.append((f"{random.randrange(1 << 33):016x}", plan, random.randrange(doors), weights, weight))
    total = sum(weight for *_, weight in drawn)
    return [
        Customer(name, plan, first, weights, weight / total) for name, plan, first, weights, weight in drawn
    ]


def arrivals(spec: LoadSpec, everyone: list[Customer], span_us: int, random: Random) -> list[Arrival]:
    """All first tries of a day of `span_us`, in order."""
    drawn: list[Arrival] = []
    at = random.expovariate(spec.rate) * S
    shares, kinds = [one.share for one in everyone], [kind.share for kind in CLASSES]
    while at < span_us:
        leaves = random.random() < spec.impatient
        drawn.append(
            Arrival(
                round(at),
                random.choices(everyone, shares)[0],
                random.choices(CLASSES, kinds)[0],
                random.uniform(0.5, 1.0),
                random.uniform(0.003, 0.06) if leaves else 1.0,
                random.random(),
            )
        )
        at += random.expovariate(spec.rate) * S
    return drawn


def work_us(kind: ClassSpec, random: Random) -> int:
    """The work of one request of a class, drawn around its mean."""
    return max(1000, round(kind.work_ms * 1000 * random.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)))
