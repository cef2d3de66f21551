"""Scenarios: load and faults of a run as TOML, typed and checked before anything starts. Reads no file."""

import tomllib
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

MAX_DOORS, MAX_SERVERS, MAX_SECONDS = 250, 1000, 36_000.0
MAX_REAL_DOORS, MAX_REAL_SERVERS, MAX_REAL_SECONDS = 9, 64, 600.0  # of runs with real processes and sockets
MAX_REQUESTS = 200_000  # first tries of a run: about 250 MB of facts
ANY = "any"  # stands for a front door or server chosen by the seed
# The name of a zone stands for all front doors or servers in it. They are assigned by their number, in turn.
ZONES = ("plant-building", "control-building", "store-building")
MAX_STEPS = 20_000  # of all faults of a run

Seconds = Annotated[float, Meta(ge=0.0, le=MAX_SECONDS)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=1, le=2000)]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """A table of the scenario file; its keys are in kebab case."""


class Fault(Table, frozen=True, kw_only=True, tag_field="fault"):
    """A fault `at` seconds after the start of the load, delayed by a random time of up to `jitter`.

    With `part` it affects that fraction of all targets that `door` or `server` may stand for, chosen by the
    seed, in `steps` groups of equal size over the time `over`.
    """

    at: Seconds
    jitter: Seconds = 0.0
    part: Share = 0.0  # 0: a single target
    steps: Count = 1
    over: Seconds = 0.0


class Kill(Fault, frozen=True, kw_only=True, tag="kill"):
    """SIGKILL to a front door, which restarts after `back-after` seconds unless that is 0."""

    door: str
    back_after: Seconds = 0.0


class End(Fault, frozen=True, kw_only=True, tag="end"):
    """SIGTERM to a front door, as at a planned restart.

    It restarts `back-after` seconds later, once it has ended, unless that is 0.
    """

    door: str
    back_after: Seconds = 0.0


class Stop(Fault, frozen=True, kw_only=True, tag="stop"):
    """SIGSTOP to a front door, and SIGCONT `lasts` seconds later."""

    door: str
    lasts: Seconds


class Reload(Fault, frozen=True, kw_only=True, tag="reload"):
    """SIGHUP to a front door whose configuration is unchanged."""

    door: str


class Cut(Fault, frozen=True, kw_only=True, tag="cut"):
    """Blocks all data between a front door and a server; open connections are reset at the end."""

    door: str
    server: str
    lasts: Seconds


class Silence(Fault, frozen=True, kw_only=True, tag="silence"):
    """A server accepts requests and answers none."""

    server: str
    lasts: Seconds


class Vanish(Fault, frozen=True, kw_only=True, tag="vanish"):
    """A server's machine stops responding, and returns cold with all connections reset."""

    server: str
    lasts: Seconds


class Reset(Fault, frozen=True, kw_only=True, tag="reset"):
    """A server resets the connection instead of answering, for a share of its answers."""

    server: str
    share: Share
    lasts: Seconds


class Spoil(Fault, frozen=True, kw_only=True, tag="spoilt"):
    """A share of a server's answers is malformed, in one of several ways."""

    server: str
    share: Share
    lasts: Seconds


class Slow(Fault, frozen=True, kw_only=True, tag="slow"):
    """A server's service times are multiplied by `times`."""

    server: str
    times: Annotated[float, Meta(ge=1.0, le=100.0)]
    lasts: Seconds


class Drain(Fault, frozen=True, kw_only=True, tag="drain"):
    """A server drains, and serves again afterwards."""

    server: str
    lasts: Seconds


class ColdDeploy(Fault, frozen=True, kw_only=True, tag="cold-deploy"):
    """Servers are replaced one by one: each drains and ends, and its successor starts cold."""

    servers: Annotated[int, Meta(ge=1, le=MAX_SERVERS)]
    every: Seconds
    drains: Seconds = 1.5


class Replace(Fault, frozen=True, kw_only=True, tag="replace"):
    """A server drains and ends, and its successor starts cold."""

    server: str
    drains: Seconds = 1.5


class DiscoveryDown(Fault, frozen=True, kw_only=True, tag="discovery-down"):
    """Discovery does not respond to any front door; changes are delivered when it returns."""

    lasts: Seconds


class DiscoveryLate(Fault, frozen=True, kw_only=True, tag="discovery-late"):
    """Changes from discovery arrive `by` seconds later than usual."""

    by: Seconds
    lasts: Seconds


class DiscoveryMoved(Fault, frozen=True, kw_only=True, tag="discovery-moved"):
    """Discovery of a front door moves to another address: a new configuration and SIGHUP."""

    door: str


class Split(Fault, frozen=True, kw_only=True, tag="split"):
    """Datagrams pass only within the groups; a front door in no group receives none."""

    groups: tuple[tuple[str, ...], ...]
    lasts: Seconds


class Mail(Fault, frozen=True, kw_only=True, tag="mail"):
    """Datagrams are lost, duplicated and reordered more often than usual."""

    lasts: Seconds
    loss: Share = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0


class Moved(Fault, frozen=True, kw_only=True, tag="moved"):
    """A share of the requests of all customers with this front door in their set goes to it alone."""

    door: str
    share: Share
    lasts: Seconds


class Crowd(Fault, frozen=True, kw_only=True, tag="crowd"):
    """Clients connect to a front door, send one PING and stay idle."""

    door: str
    clients: Count
    lasts: Seconds


class Hostile(Fault, frozen=True, kw_only=True, tag="hostile"):
    """Clients that send incomplete commands, floods and wrong lengths, or read nothing."""

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
    """The endpoint list of a restarted front door."""

    LAST = "last"  # that of its discovery agent at the restart
    FIRST = "first"  # that of its first start, as from a file that is never updated


class Load(Table, frozen=True):
    """The load of clients."""

    rate: Annotated[float, Meta(gt=0.0, le=2000.0)] = 120.0
    customers: Annotated[int, Meta(ge=1, le=100_000)] = 24
    greedy: Share = 0.1
    impatient: Share = 0.03
    set_doors: Count = 4  # largest number of front doors of a customer; the smallest is two


class Scenario(Table, frozen=True):
    """A run: its size, load and faults."""

    name: str
    title: str
    seconds: Annotated[float, Meta(gt=0.0, le=MAX_SECONDS)] = 10.0
    doors: Annotated[int, Meta(ge=1, le=MAX_DOORS)] = 3
    servers: Annotated[int, Meta(ge=1, le=MAX_SERVERS)] = 6
    load: Load = Load()
    start_list: StartList = StartList.LAST
    fault: tuple[AnyFault, ...] = ()

    def door_names(self) -> list[str]:
        """The names of all front doors."""
        return [f"n{number}" for number in range(self.doors)]

    def server_names(self) -> list[str]:
        """The names of all servers at the start."""
        return [f"s-{number + 1}" for number in range(self.servers)]


def matching_targets(name: str, names: list[str]) -> list[str]:
    """The targets that `name` may stand for; `names` are all front doors or all servers, in order."""
    if name in ZONES:
        return names[ZONES.index(name) :: len(ZONES)]
    return names if name == ANY else [name] if name in names else []


def check_real_limits(scenario: Scenario) -> None:
    """Check the limits of a run with real processes and sockets; a simulated one may be larger."""
    for key, limit in (
        ("doors", MAX_REAL_DOORS),
        ("servers", MAX_REAL_SERVERS),
        ("seconds", MAX_REAL_SECONDS),
    ):
        if getattr(scenario, key) > limit:
            raise ValueError(f"more than {limit:g}: only `molereach simulate` plays that - at `$.{key}`")


def check_consistency(scenario: Scenario) -> None:
    """Check what types cannot express: targets of faults exist, and the facts of a run fit into memory."""
    if scenario.seconds * scenario.load.rate > MAX_REQUESTS:
        text = f"seconds times rate is more than {MAX_REQUESTS} requests"
        raise ValueError(f"{text} - at `$.load.rate`")
    known = {"door": scenario.door_names(), "server": scenario.server_names()}
    steps = 0
    for number, fault in enumerate(scenario.fault):
        for target, names in known.items():
            name = getattr(fault, target, ANY)
            if not matching_targets(name, names):
                raise ValueError(f"there is no {target} '{name}' - at `$.fault[{number}].{target}`")
        if isinstance(fault, Split):
            check_groups(fault, set(known["door"]), number)
        steps += max_fault_steps(fault, known)
        if steps > MAX_STEPS:
            raise ValueError(f"faults come to more than {MAX_STEPS} steps - at `$.fault[{number}]`")
        if isinstance(fault, ColdDeploy) and fault.servers > scenario.servers:
            raise ValueError(f"there are only {scenario.servers} servers - at `$.fault[{number}].servers`")


def max_fault_steps(fault: Fault, known: dict[str, list[str]]) -> int:
    """An upper bound of the steps of a fault."""
    bound = 2
    for target, names in known.items():
        name = getattr(fault, target, "")
        if name in ZONES or (name == ANY and fault.part):
            bound *= len(matching_targets(name, names))
    return bound


def check_groups(fault: Split, doors: set[str], number: int) -> None:
    """Check that the groups of a split name existing front doors, each at most once."""
    named = [name for group in fault.groups for name in group]
    for name in named:
        if name not in doors:
            raise ValueError(f"there is no door '{name}' - at `$.fault[{number}].groups`")
    if len(set(named)) != len(named):
        raise ValueError(f"a door stands in two groups - at `$.fault[{number}].groups`")


def decode(text: str, changes: dict[str, Any] | None = None, real: bool = True) -> Scenario:
    """Parse a scenario, with some top-level values replaced; ValueError names the invalid key."""
    values = {**tomllib.loads(text), **{key: value for key, value in (changes or {}).items() if value}}
    scenario = msgspec.convert(values, Scenario)
    check_consistency(scenario)
    if real:
        check_real_limits(scenario)
    return scenario
