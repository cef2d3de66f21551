"""The tier that is played: its doors, tenants and addresses, the same in all processes. A core.

Each tenant asks at the doors of its set alike, and all tenants together ask each door for the same rate.
Plans differ by the rate of their tenants; a tenant asks for a fixed part of its quota, so that an ordinary
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
QUOTA_PART = 0.7  # of its quota that a tenant asks for
BURST_S = 4.0  # of its quota's rate that a tenant's store holds,
LEAST_BURST = 16.0  # and no fewer units: a part that holds no whole request refuses where little is asked
PLAN_TIMES = (1.0, 2.0, 4.0)  # the rates of the plans' tenants beside one another
CEILING_TIMES = 2.0  # the last plan's ceiling, beside its quota
MOST_CUSTOMER = 1 << 33
PEER_NET, BACKEND_NET = 216, 200  # second bytes of loopback addresses, with as many after them as are needed
LOOPBACK_BITS = 16


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer as requests name it, and what all doors of its set are asked for by it."""

    name: str  # 16 hex digits
    plan: int
    first: int
    rate: float  # a second


@dataclass(frozen=True, slots=True)
class Tier:
    """As large as one is played."""

    doors: int
    tenants: int
    spread: int
    seed: int
    peer_port: int  # of all doors, each at an address of its own

    def shown(self) -> dict[str, object]:
        return asdict(self)

    @property
    def base_rate(self) -> float:
        """Of a tenant with the first plan, in requests a second."""
        return RATE * self.doors / self.tenants * len(PLAN_TIMES) / sum(PLAN_TIMES)

    def everyone(self) -> Iterator[Tenant]:
        random, doors, base = Random(self.seed), self.doors, self.base_rate
        for number in range(self.tenants):
            plan = number % len(PLAN_TIMES)
            # A name is a number of its own: the draw would meet itself with so many tenants.
            name = f"{number * (MOST_CUSTOMER // self.tenants) + random.randrange(1 << 12):016x}"
            yield Tenant(name, plan, random.randrange(doors), base * PLAN_TIMES[plan])

    def holds(self, tenant: Tenant, door: int) -> bool:
        return (door - tenant.first) % self.doors < self.spread

    def tenants_of(self, door: int) -> list[Tenant]:
        return self.tenants_of_all([door])[door]

    def tenants_of_all(self, wanted: Iterable[int]) -> dict[int, list[Tenant]]:
        """By door; all tenants are drawn once for it."""
        found: dict[int, list[Tenant]] = {door: [] for door in wanted}
        for tenant in self.everyone():
            for step in range(self.spread):
                if (door := (tenant.first + step) % self.doors) in found:
                    found[door].append(tenant)
        return found

    def neighbours(self, door: int) -> list[int]:
        """The other doors that share a tenant with it."""
        near = range(1 - self.spread, self.spread)
        return sorted({(door + step) % self.doors for step in near} - {door})

    def spaced(self, count: int) -> list[int]:
        """So many doors, as far from one another as they can be."""
        return [number * self.doors // count for number in range(count)]

    def peers(self) -> list[str]:
        return [shown(peer_address(door, self.peer_port)) for door in range(self.doors)]

    def settings(self, door: int) -> dict[str, object]:
        values = settings(0, self.doors, MemberSpec())
        zones = [f"z{number:02}" for number in range(ZONES)]
        return {
            **values,
            "me": door,
            "zone": door % ZONES,
            "zones": zones,
            "kinds": ["two-core"],
            "plans": [plan(number, self.base_rate * times) for number, times in enumerate(PLAN_TIMES)],
        }


def plan(number: int, asked: float) -> dict[str, object]:
    """As the settings hold it, for tenants that ask for so much a second."""
    quota = asked / QUOTA_PART
    limited = CEILING_TIMES * quota if number == len(PLAN_TIMES) - 1 else 0.0
    burst = max(LEAST_BURST, quota * BURST_S)
    return {
        "name": f"plan-{number}",
        "units-per-s": quota,
        "burst": burst,
        "max-out": 0,
        "value-factor": 1.0,
        "extra-worth": 0.0,
        "overrun-cost": 0.6,
        "never-over-rate": limited,
        "hard-burst": CEILING_TIMES * burst if limited else 0.0,
        "hard-slack": 4.0 if limited else 0.0,
    }


def loopback(net: int, number: int, port: int) -> Address:
    return f"127.{net + (number >> LOOPBACK_BITS)}.{number >> 8 & 255}.{number & 255}", port


def peer_address(door: int, port: int) -> Address:
    return loopback(PEER_NET, door, port)


def backend_address(number: int, port: int) -> Address:
    return loopback(BACKEND_NET, number, port)


def backend_number(host: str) -> int:
    """Of the backend that has an address."""
    _, net, high, low = map(int, host.split("."))
    return (net - BACKEND_NET << LOOPBACK_BITS) + (high << 8) + low


def shown(address: Address) -> str:
    return "{}:{}".format(*address)


PICKS = 8192  # drawn ahead, and then anew in turn


class Requests:
    """What clients ask one door for: tenants and classes in their shares."""

    def __init__(self, tier: Tier, door: int, tenants: Iterable[Tenant], random: Random) -> None:
        self.door, self.spread, self.tenants = door, tier.spread, list(tenants)
        self.serial = random.getrandbits(16) << 32
        rates, shares = [tenant.rate for tenant in self.tenants], [kind.share for kind in CLASSES]
        picked = random.choices(self.tenants, rates, k=PICKS) if self.tenants else []
        self.picks = list(zip(picked, random.choices(CLASSES, shares, k=PICKS), strict=False))

    def words(self) -> list[bytes]:
        """The next one; its id says which door it was sent to."""
        self.serial += 1
        tenant, kind = self.picks[self.serial % PICKS]
        name = b"%04x%012x" % (self.door, self.serial)
        key = b",k=%b" % name if kind.effect is Effect.KEYED else b""
        fields = b"c=%b,t=plan-%d,d=1900%b,units=1,spread=%d,first=%d" % (
            kind.name.encode(),
            tenant.plan,
            key,
            self.spread,
            tenant.first,
        )
        words = [b"SVC.SUBMIT" if kind.is_write else b"SVC.QUERY", tenant.name.encode(), name, fields]
        return [*words, b"body"] if kind.is_write else words


def door_of(request_id: bytes) -> int:
    return int(request_id[:4], 16)
