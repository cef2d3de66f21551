"""The parts of the simulated world: components under test, servers, sessions and front doors."""

from dataclasses import dataclass, field

from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import ProposalFinished
from molereach.upkeep.driver import Driver
from molereach.upkeep.permits.state_machine import UpkeepStateMachine
from molereach.upkeep.routing import MaintenanceRouting
from molereach.upkeep.rules.settings import UpkeepSettings
from tests.upkeep.state_machine_log import ProofSessions

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


class InvariantViolatedError(AssertionError):
    """An invariant of the simulated world is violated."""


@dataclass(frozen=True)
class Components:
    """The components of a world; a mutant replaces one."""

    machine: type[UpkeepStateMachine] = UpkeepStateMachine
    routing: type[MaintenanceRouting] = MaintenanceRouting
    settings: UpkeepSettings = SETTINGS


@dataclass(eq=False)
class SimulatedServer:
    """A backend server and its requests in flight."""

    ready: bool = True
    warmth: int = 1000
    ready_at: int = 0  # the step at which it is ready again; 0 if it is ready or never returns
    # For each request in flight: the step at which it ends, and its sender.
    in_flight: list[tuple[int, "SimulatedProxy"]] = field(default_factory=list)


class SimulatedSession:
    """The session of a front door, by its own clock."""

    def __init__(self) -> None:
        self.until_us, self.fencing_token, self.applied_position = 0, 0, 0

    def holds(self, now_us: int) -> bool:
        return now_us < self.until_us


@dataclass(eq=False)
class SimulatedProxy:
    """One instance of a front door."""

    instance: NodeInstance
    clock_rate: float
    sessions: ProofSessions
    machine: UpkeepStateMachine
    session: SimulatedSession
    routing: MaintenanceRouting
    driver: Driver
    learned_position: int = 0
    paused_until: int = 0  # it does nothing before this step
    disconnected_until: int = 0
    pending_outcomes: list[ProposalFinished] = field(default_factory=list)
    renewed_at_us: int = 0  # when its session was renewed, in simulated time

    def now_us(self, step: int) -> int:
        return int(step * STEP_US * self.clock_rate)


REAL_COMPONENTS = Components()
