"""Seeded open-loop load: customers, and their requests with arrival times, drawn before the run."""

from dataclasses import dataclass
from random import Random

from rig.facts import Effect

US_PER_S = 1_000_000
WORK_SIGMA = 0.4  # standard deviation of the logarithm of a request's work


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests, as in the settings."""

    name: str
    effect: Effect
    share: float
    work_ms: float  # mean, on one core
    on_time_us: int
    deadline_us: int
    points: float
    group: str = "all"
    window_us: int = 5 * US_PER_S

    @property
    def is_write(self) -> bool:
        """Whether requests of this class have an effect."""
        return self.effect is not Effect.SAFE


@dataclass(frozen=True, slots=True)
class PlanSpec:
    """A plan: quota and ceiling of each customer over all front doors, in units and units a second."""

    name: str
    rate: float
    burst: float
    value_factor: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


CLASSES = (
    ClassSpec("load-read", Effect.SAFE, 0.36, 24.0, 750_000, 2_000_000, 3.0),
    ClassSpec("capacity-booking", Effect.KEYED, 0.34, 40.0, 1_500_000, 3_000_000, 3.0, "zone", 15 * US_PER_S),
    ClassSpec("meter-settlement", Effect.UNSAFE, 0.30, 40.0, 1_500_000, 3_000_000, 2.0),
)
PLANS = (
    PlanSpec("basic-tariff", 3.0, 12.0, 0.88),
    PlanSpec("standard-tariff", 6.0, 24.0, 1.3),
    PlanSpec("bulk-tariff", 12.0, 24.0, 1.8, 24.0, 36.0, 4.0),
)


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer: its plan, its set of front doors, and how its traffic spreads over them."""

    name: str  # 16 hex digits
    plan: PlanSpec
    first_door: int
    weights: tuple[float, ...]  # one for each front door of the set, in order
    share: float  # of all arrivals


@dataclass(frozen=True, slots=True)
class Arrival:
    """The first try of a request."""

    at_us: int  # from the start of the load
    customer: Customer
    request_class: ClassSpec
    timeout_fraction: float  # of the deadline of the class, for each try
    abandon_fraction: float  # of the timeout, after which an impatient client leaves; 1 for all others
    draw: float  # 0 to 1, selects the front door


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """The offered load."""

    rate: float = 120.0  # first tries a second
    customers: int = 24
    greedy: float = 0.1  # share of the customers that send several times their share
    greedy_factor: float = 4.0
    impatient: float = 0.03  # share of the requests whose client leaves early
    set_doors: int = 4  # front doors of the largest set


def customers(spec: LoadSpec, doors: int, random: Random) -> list[Customer]:
    """Draw the customers, with shares that sum to 1."""
    drawn: list[tuple[str, PlanSpec, int, tuple[float, ...], float]] = []
    for number in range(spec.customers):
        plan = PLANS[number % len(PLANS)]
        size = random.randint(min(2, doors), min(max(2, spec.set_doors), doors))
        weights = tuple(random.uniform(0.2, 1.0) for _ in range(size))
        weight = plan.rate * (spec.greedy_factor if random.random() < spec.greedy else 1.0)
        drawn.append((f"{random.randrange(1 << 33):016x}", plan, random.randrange(doors), weights, weight))
    total = sum(weight for *_, weight in drawn)
    return [
        Customer(name, plan, first_door, weights, weight / total)
        for name, plan, first_door, weights, weight in drawn
    ]


def arrivals(
    spec: LoadSpec, all_customers: list[Customer], duration_us: int, random: Random
) -> list[Arrival]:
    """Draw the first tries of a run of `duration_us`, in order of time."""
    drawn: list[Arrival] = []
    at_us = random.expovariate(spec.rate) * US_PER_S
    customer_shares, class_shares = (
        [customer.share for customer in all_customers],
        [request_class.share for request_class in CLASSES],
    )
    while at_us < duration_us:
        is_impatient = random.random() < spec.impatient
        drawn.append(
            Arrival(
                round(at_us),
                random.choices(all_customers, customer_shares)[0],
                random.choices(CLASSES, class_shares)[0],
                random.uniform(0.5, 1.0),
                random.uniform(0.003, 0.06) if is_impatient else 1.0,
                random.random(),
            )
        )
        at_us += random.expovariate(spec.rate) * US_PER_S
    return drawn


def work_us(request_class: ClassSpec, random: Random) -> int:
    """Draw the work of one request from a log-normal distribution around the mean of its class."""
    return max(
        1000,
        round(request_class.work_ms * 1000 * random.lognormvariate(-WORK_SIGMA * WORK_SIGMA / 2, WORK_SIGMA)),
    )
