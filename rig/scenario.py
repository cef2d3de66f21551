"""Scenarios: a day with its faults as TOML, typed and checked before anything starts. Reads no file."""

import tomllib
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

MAX_MEMBERS, MOST_SERVERS, MOST_SECONDS = 250, 1000, 36_000.0
REAL_DOORS, REAL_SERVERS, REAL_SECONDS = 9, 64, 600.0  # of those that are played with processes and sockets
MOST_REQUESTS = 200_000  # first tries of a day: about 250 MB of journals
ANY = "any"  # a front door or server that the seed chooses
# A zone's name stands for all front doors or servers in it: each has the one of its number.
ZONES = ("plant-building", "control-building", "store-building")
MOST_STEPS = 20_000  # that all faults of a day may come to

Seconds = Annotated[float, Meta(ge=0.0, le=MOST_SECONDS)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=1, le=2000)]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """A table of the file."""


class Fault(Table, frozen=True, kw_only=True, tag_field="fault"):
    """Something that goes wrong, `at` seconds after the load starts, up to `jitter` later by the seed.

    With `part` it befalls that part of all that `door` or `server` may mean, chosen by the seed, in so many
    `steps` of equal size over the time `over`.
    """

    at: Seconds
    jitter: Seconds = 0.0
    part: Share = 0.0  # 0: one
    steps: Count = 1
    over: Seconds = 0.0


class Kill(Fault, frozen=True, kw_only=True, tag="kill"):
    """SIGKILL to a front door; it starts again after `back-after` seconds, unless that is 0."""

    door: str
    back_after: Seconds = 0.0


class End(Fault, frozen=True, kw_only=True, tag="end"):
    """SIGTERM to a front door, as at a planned restart; it starts again once it has ended."""

    door: str
    back_after: Seconds = 0.0


class Stop(Fault, frozen=True, kw_only=True, tag="stop"):
    """SIGSTOP to a front door, and SIGCONT `lasts` seconds later."""

    door: str
    lasts: Seconds


class Reload(Fault, frozen=True, kw_only=True, tag="reload"):
    """SIGHUP to a front door with the same file."""

    door: str


class Cut(Fault, frozen=True, kw_only=True, tag="cut"):
    """Nothing goes between a front door and a server; open connections are reset when it is over."""

    door: str
    server: str
    lasts: Seconds


class Silence(Fault, frozen=True, kw_only=True, tag="silence"):
    """A server takes everything and says nothing to anyone."""

    server: str
    lasts: Seconds


class Vanish(Fault, frozen=True, kw_only=True, tag="vanish"):
    """A server's machine says nothing any more, and comes back cold, with all connections reset."""

    server: str
    lasts: Seconds


class Reset(Fault, frozen=True, kw_only=True, tag="reset"):
    """A share of a server's answers is a reset connection instead."""

    server: str
    share: Share
    lasts: Seconds


class Spoil(Fault, frozen=True, kw_only=True, tag="spoilt"):
    """A share of a server's answers cannot be read, in one of several ways."""

    server: str
    share: Share
    lasts: Seconds


class Slow(Fault, frozen=True, kw_only=True, tag="slow"):
    """A server takes so many times as long."""

    server: str
    times: Annotated[float, Meta(ge=1.0, le=100.0)]
    lasts: Seconds


class Drain(Fault, frozen=True, kw_only=True, tag="drain"):
    """A server drains, and serves again after it."""

    server: str
    lasts: Seconds


class ColdDeploy(Fault, frozen=True, kw_only=True, tag="cold-deploy"):
    """Servers are replaced one by one: each drains, goes, and its successor starts cold."""

    servers: Annotated[int, Meta(ge=1, le=MOST_SERVERS)]
    every: Seconds
    drains: Seconds = 1.5


class Replace(Fault, frozen=True, kw_only=True, tag="replace"):
    """A server drains, goes, and its successor starts cold."""

    server: str
    drains: Seconds = 1.5


class DiscoveryDown(Fault, frozen=True, kw_only=True, tag="discovery-down"):
    """Discovery is silent to all front doors; what changed meanwhile is told when it is back."""

    lasts: Seconds


class DiscoveryLate(Fault, frozen=True, kw_only=True, tag="discovery-late"):
    """What discovery has to tell comes so many seconds later than usual."""

    by: Seconds
    lasts: Seconds


class DiscoveryMoved(Fault, frozen=True, kw_only=True, tag="discovery-moved"):
    """Discovery of a front door moves to another address: a new file and SIGHUP."""

    door: str


class Split(Fault, frozen=True, kw_only=True, tag="split"):
    """Datagrams pass only within the groups; a front door in none hears nobody."""

    groups: tuple[tuple[str, ...], ...]
    lasts: Seconds


class Mail(Fault, frozen=True, kw_only=True, tag="mail"):
    """Datagrams are lost, doubled and overtaken more often than usual."""

    lasts: Seconds
    loss: Share = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0


class Moved(Fault, frozen=True, kw_only=True, tag="moved"):
    """A share of the requests of all customers that have this front door in their set gathers on it."""

    door: str
    share: Share
    lasts: Seconds


class Crowd(Fault, frozen=True, kw_only=True, tag="crowd"):
    """So many clients connect to a front door, greet and stay idle."""

    door: str
    clients: Count
    lasts: Seconds


class Hostile(Fault, frozen=True, kw_only=True, tag="hostile"):
    """Clients that send halves of commands, floods and wrong lengths, or read nothing."""

    door: str
    clients: Count


AnyFault = (
    Kill
    | End
    | Stop
    | Reload
    | Cut
    | Silence
    | Vanish
    | Reset
    | Spoil
    | Slow
    | Drain
    | ColdDeploy
    | Replace
    | DiscoveryDown
    | DiscoveryLate
    | DiscoveryMoved
    | Split
    | Mail
    | Moved
    | Crowd
    | Hostile
)


class StartList(Enum):
    """What a front door that starts again knows of the servers."""

    LAST = "last"  # what its agent of discovery has by then
    FIRST = "first"  # what it was given at its first start, as from a file that nobody renews


class Load(Table, frozen=True):
    """What clients ask for."""

    rate: Annotated[float, Meta(gt=0.0, le=2000.0)] = 120.0
    customers: Annotated[int, Meta(ge=1, le=100_000)] = 24
    greedy: Share = 0.1
    impatient: Share = 0.03
    set_doors: Count = 4  # a customer's set has two to so many front doors


class Scenario(Table, frozen=True):
    """A day."""

    name: str
    title: str
    seconds: Annotated[float, Meta(gt=0.0, le=MOST_SECONDS)] = 10.0
    doors: Annotated[int, Meta(ge=1, le=MAX_MEMBERS)] = 3
    servers: Annotated[int, Meta(ge=1, le=MOST_SERVERS)] = 6
    load: Load = Load()
    start_list: StartList = StartList.LAST
    fault: tuple[AnyFault, ...] = ()

    def door_names(self) -> list[str]:
        return [f"n{number}" for number in range(self.doors)]

    def server_names(self) -> list[str]:
        return [f"s-{number + 1}" for number in range(self.servers)]


def meant(name: str, names: list[str]) -> list[str]:
    """Whom a fault may befall that says `name`; `names` are all front doors or all servers, in order."""
    if name in ZONES:
        return names[ZONES.index(name) :: len(ZONES)]
    return names if name == ANY else [name] if name in names else []


def check_real(scenario: Scenario) -> None:
    """What a day with real processes and sockets is bound by; a simulated one may be larger."""
    for key, most in (("doors", REAL_DOORS), ("servers", REAL_SERVERS), ("seconds", REAL_SECONDS)):
        if getattr(scenario, key) > most:
            raise ValueError(f"more than {most:g}: only `molereach simulate` plays that - at `$.{key}`")


def check_names(scenario: Scenario) -> None:
    """What the types cannot say: whom a fault names is there, and a day's journals fit into memory."""
    if scenario.seconds * scenario.load.rate > MOST_REQUESTS:
        text = f"seconds times rate is more than {MOST_REQUESTS} requests"
        raise ValueError(f"{text} - at `$.load.rate`")
    known = {"door": scenario.door_names(), "server": scenario.server_names()}
    steps = 0
    for number, fault in enumerate(scenario.fault):
        for what, names in known.items():
            name = getattr(fault, what, ANY)
            if not meant(name, names):
                raise ValueError(f"there is no {what} '{name}' - at `$.fault[{number}].{what}`")
        if isinstance(fault, Split):
            check_groups(fault, set(known["door"]), number)
        steps += most_steps(fault, known)
        if steps > MOST_STEPS:
            raise ValueError(f"faults come to more than {MOST_STEPS} steps - at `$.fault[{number}]`")
        if isinstance(fault, ColdDeploy) and fault.servers > scenario.servers:
            raise ValueError(f"there are only {scenario.servers} servers - at `$.fault[{number}].servers`")


def most_steps(fault: Fault, known: dict[str, list[str]]) -> int:
    """No more than how many things a fault makes happen."""
    many = 2
    for what, names in known.items():
        name = getattr(fault, what, "")
        if name in ZONES or (name == ANY and fault.part):
            many *= len(meant(name, names))
    return many


def check_groups(fault: Split, doors: set[str], number: int) -> None:
    named = [name for group in fault.groups for name in group]
    for name in named:
        if name not in doors:
            raise ValueError(f"there is no door '{name}' - at `$.fault[{number}].groups`")
    if len(set(named)) != len(named):
        raise ValueError(f"a door stands in two groups - at `$.fault[{number}].groups`")


def decode(text: str, changes: dict[str, Any] | None = None, real: bool = True) -> Scenario:
    """The scenario in `text`, with top-level values changed; ValueError names the key that is wrong."""
    values = {**tomllib.loads(text), **{key: value for key, value in (changes or {}).items() if value}}
    scenario = msgspec.convert(values, Scenario)
    check_names(scenario)
    if real:
        check_real(scenario)
    return scenario
