"""What is kept of one work."""

from molereach.coordination.interface.identifiers import Name, NodeInstance, Position, WireStruct
from molereach.upkeep.permits.lifecycle import UNSENDABLE, State
from molereach.upkeep.requests.work_item import Ms, Work
from molereach.upkeep.rules.fleet_facts import Address
from molereach.upkeep.rules.scene import Off, Taken
from molereach.upkeep.scheduling.ageing import Waiting


class Record(WireStruct, frozen=True):
    """A work, and where it stands."""

    work: Work
    by: NodeInstance  # whose entry it was
    asked: Position
    state: State
    since_ms: Ms  # of this state
    passed: Position = 0  # how often later works began while it was queued
    passed_ms: Ms = 0  # since when that is too often
    begun: Position = 0  # the entry by which it drains
    begun_ms: Ms = 0
    cell: Name | None = None  # as it began: it may not be listed while it is out
    zone: Name | None = None
    address: Address = ""
    permit: Position = 0
    until_ms: Ms = 0  # by when it is to be back
    gone: bool = False  # it was seen not to be ready since its permit
    hurried: bool = False
    name: Name | None = None  # under which it is back
    why: str = ""  # it ended so

    @property
    def names(self) -> tuple[str, ...]:
        """Those under which it may be sent to."""
        return tuple(dict.fromkeys((self.work.machine, self.name or self.work.machine)))

    @property
    def now(self) -> str:
        """The name that it goes by."""
        return self.name or self.work.machine

    @property
    def waiting(self) -> Waiting:
        return Waiting(self.work, self.asked, self.passed_ms)

    def taken(self) -> dict[str, Taken]:
        """How it counts, by name; what it left behind under its old one is gone once the new one is warm."""
        groups = (("cell", self.cell), ("zone", self.zone)) if self.cell and self.zone else ()
        off = Off.LOST if self.state is State.LOST else Off.AWAY
        if self.state is State.WARM:
            off = Off.WARMING
        old = Off.LOST if off is Off.WARMING else off
        return {
            name: Taken(self.work, off if name == self.now else old, groups, self.begun_ms)
            for name in self.names
        }

    @property
    def unsendable(self) -> tuple[str, ...]:
        return self.names if self.state in UNSENDABLE else ()
