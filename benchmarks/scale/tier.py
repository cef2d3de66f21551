"""The simulated tier: its doors, tenants and addresses, the same in all processes. No input or output.

Each tenant sends equally to the doors of its set, and all tenants together send each door the same rate.
Plans differ by the rate of their tenants; a tenant uses a fixed share of its quota, so that an ordinary
second refuses nothing, however many tenants a tier has.
"""

from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from random import Random

from rig.facts import Effect
from rig.member import MemberSpec
from rig.workload import CLASSES
from rig.world.settings import settings

Address = tuple[str, int]
ZONES, CELLS = 26, 2900
RATE = 293.0  # requests a second at each door
SPREAD = 4  # doors of a tenant's set: as many as the largest of the rig's workload
QUOTA_SHARE = 0.7  # share of its quota that a tenant uses
BURST_S = 4.0  # seconds of its quota's rate that a tenant's store holds,
MIN_BURST = 16.0  # and at least these units: a store without room for a whole request refuses small tenants
PLAN_RATE_FACTORS = (1.0, 2.0, 4.0)  # relative rates of the plans' tenants
CEILING_FACTOR = 2.0  # the last plan's ceiling, relative to its quota
CUSTOMER_NUMBERS = 1 << 33
# First values of the second byte of loopback addresses; the following values are used as needed.
PEER_NET, BACKEND_NET = 216, 200
LOOPBACK_BITS = 16


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer as requests name it, and its request rate over all doors of its set."""

    name: str  # 16 hex digits
    plan: int
    first: int
    rate: float  # a second


@dataclass(frozen=True, slots=True)
class Tier:
    """The dimensions of a tier."""

    doors: int
    tenants: int
    spread: int
    seed: int
    peer_port: int  # of all doors, each with an address of its own

    def as_fields(self) -> dict[str, object]:
        """Return the fields, to pass to another process."""
        return asdict(self)

    @property
    def base_rate(self) -> float:
        """Requests a second of a tenant with the first plan."""
        return RATE * self.doors / self.tenants * len(PLAN_RATE_FACTORS) / sum(PLAN_RATE_FACTORS)

    def all_tenants(self) -> Iterator[Tenant]:
        """Yield all tenants; the seed alone determines them."""
        random, doors, base = Random(self.seed), self.doors, self.base_rate
        for number in range(self.tenants):
            plan = number % len(PLAN_RATE_FACTORS)
            # Names are drawn from separate ranges: random names of so many tenants would collide.
            name = f"{number * (CUSTOMER_NUMBERS // self.tenants) + random.randrange(1 << 12):016x}"
            yield Tenant(name, plan, random.randrange(doors), base * PLAN_RATE_FACTORS[plan])

    def has_tenant(self, tenant: Tenant, door: int) -> bool:
        """Return whether a door belongs to a tenant's set."""
        return (door - tenant.first) % self.doors < self.spread

    def tenants_of(self, door: int) -> list[Tenant]:
        """Return the tenants of one door."""
        return self.tenants_of_all([door])[door]

    def tenants_of_all(self, doors: Iterable[int]) -> dict[int, list[Tenant]]:
        """Return the tenants of several doors, by door; all tenants are generated once for it."""
        tenants: dict[int, list[Tenant]] = {door: [] for door in doors}
        for tenant in self.all_tenants():
            for step in range(self.spread):
                if (door := (tenant.first + step) % self.doors) in tenants:
                    tenants[door].append(tenant)
        return tenants

    def neighbours(self, door: int) -> list[int]:
        """The other doors that share a tenant with it."""
        offsets = range(1 - self.spread, self.spread)
        return sorted({(door + step) % self.doors for step in offsets} - {door})

    def evenly_spaced(self, count: int) -> list[int]:
        """Return `count` doors at the greatest distance from each other."""
        return [number * self.doors // count for number in range(count)]

    def peers(self) -> list[str]:
        """Return the peer addresses of all doors."""
        return [address_text(peer_address(door, self.peer_port)) for door in range(self.doors)]

    def settings(self, door: int) -> dict[str, object]:
        """Return a door's settings."""
        values = settings(0, self.doors, MemberSpec())
        zones = [f"z{number:02}" for number in range(ZONES)]
        return {
            **values,
            "me": door,
            "zone": door % ZONES,
            "zones": zones,
            "kinds": ["two-core"],
            "plans": [
                plan(number, self.base_rate * factor) for number, factor in enumerate(PLAN_RATE_FACTORS)
            ],
        }


def plan(number: int, rate: float) -> dict[str, object]:
    """Return a plan's settings for tenants that send `rate` requests a second."""
    quota = rate / QUOTA_SHARE
    ceiling = CEILING_FACTOR * quota if number == len(PLAN_RATE_FACTORS) - 1 else 0.0
    burst = max(MIN_BURST, quota * BURST_S)
    return {
        "name": f"plan-{number}",
        "units-per-s": quota,
        "burst": burst,
        "max-out": 0,
        "value-factor": 1.0,
        "extra-worth": 0.0,
        "overrun-cost": 0.6,
        "never-over-rate": ceiling,
        "hard-burst": CEILING_FACTOR * burst if ceiling else 0.0,
        "hard-slack": 4.0 if ceiling else 0.0,
    }


def loopback(net: int, number: int, port: int) -> Address:
    """Return the loopback address of a number."""
    return f"127.{net + (number >> LOOPBACK_BITS)}.{number >> 8 & 255}.{number & 255}", port


def peer_address(door: int, port: int) -> Address:
    """Return a door's address for its peers."""
    return loopback(PEER_NET, door, port)


def backend_address(number: int, port: int) -> Address:
    """Return a backend's address."""
    return loopback(BACKEND_NET, number, port)


def backend_number(host: str) -> int:
    """Return the number of the backend that has an address."""
    _, net, high, low = map(int, host.split("."))
    return (net - BACKEND_NET << LOOPBACK_BITS) + (high << 8) + low


def address_text(address: Address) -> str:
    """Return an address as text."""
    return "{}:{}".format(*address)


DRAWN_REQUESTS = 8192  # drawn in advance and then repeated in turn


class Requests:
    """The requests of one door's clients: tenants and classes in their shares."""

    def __init__(self, tier: Tier, door: int, tenants: Iterable[Tenant], random: Random) -> None:
        self.door, self.spread, self.tenants = door, tier.spread, list(tenants)
        self.serial = random.getrandbits(16) << 32
        rates, shares = (
            [tenant.rate for tenant in self.tenants],
            [request_class.share for request_class in CLASSES],
        )
        drawn_tenants = random.choices(self.tenants, rates, k=DRAWN_REQUESTS) if self.tenants else []
        self.drawn = list(zip(drawn_tenants, random.choices(CLASSES, shares, k=DRAWN_REQUESTS), strict=False))

    def next_command(self) -> list[bytes]:
        """Return the next command; its request id contains the door's number."""
        self.serial += 1
        tenant, request_class = self.drawn[self.serial % DRAWN_REQUESTS]
        name = b"%04x%012x" % (self.door, self.serial)
        key = b",k=%b" % name if request_class.effect is Effect.KEYED else b""
        fields = b"c=%b,t=plan-%d,d=1900%b,units=1,spread=%d,first=%d" % (
            request_class.name.encode(),
            tenant.plan,
            key,
            self.spread,
            tenant.first,
        )
        words = [
            b"SVC.SUBMIT" if request_class.is_write else b"SVC.QUERY",
            tenant.name.encode(),
            name,
            fields,
        ]
        return [*words, b"body"] if request_class.is_write else words


def door_of(request_id: bytes) -> int:
    """Return the number of the door that a request was sent to."""
    return int(request_id[:4], 16)
