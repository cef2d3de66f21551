"""Who plays in the histories of machines out for work: cores, servers, sessions and front doors."""

from dataclasses import dataclass, field

from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import ProposalFinished
from molereach.upkeep.driver import Driver
from molereach.upkeep.permits.state_machine import Upkeep
from molereach.upkeep.routing import DoorSide
from molereach.upkeep.rules.settings import UpkeepSettings
from tests.upkeep.state_machine_log import LoneSessions

STEP_US = 5 * SECOND_US
SETTINGS = UpkeepSettings(
    most_out=2,
    most_out_cell=2,
    most_out_zone=2,
    least_ready_cell=3,
    least_ready_zone=2,
    target=1000,
    least_in_set=0,
    fresh_ms=25_000,
    drain_ms=20_000,
    warming_ms=30_000,
    closing_ms=60_000,
    most_passed=2,
    slack_ms=60_000,
    lost_ms=120_000,
    alone_ms=50_000,
    flight_ms=15_000,
)


class BrokenError(AssertionError):
    """What must never be, was."""


@dataclass(frozen=True)
class Cores:
    """What a world is made of; a mutation changes one."""

    machine: type[Upkeep] = Upkeep
    door: type[DoorSide] = DoorSide
    settings: UpkeepSettings = SETTINGS


@dataclass(eq=False)
class Server:
    """One member's server, and what its journal says."""

    ready: bool = True
    warmth: int = 1000
    back_at: int = 0  # the step at which it is there again; 0 for there or never
    flying: list[tuple[int, "Door"]] = field(default_factory=list)  # until which step, from whom


class Held:
    """A front door's session, by its own clock."""

    def __init__(self) -> None:
        self.until_us, self.fencing_token, self.applied_position = 0, 0, 0

    def holds(self, now_us: int) -> bool:
        return now_us < self.until_us


@dataclass(eq=False)
class Door:
    """One run of one front door."""

    life: NodeInstance
    rate: float
    sessions: LoneSessions
    machine: Upkeep
    held: Held
    side: DoorSide
    driver: Driver
    learnt: int = 0
    stopped: int = 0  # until this step
    cut: int = 0
    waiting: list[ProposalFinished] = field(default_factory=list)
    given_us: int = 0  # when its session was renewed, in true time

    def now_us(self, step: int) -> int:
        return int(step * STEP_US * self.rate)


REAL = Cores()
