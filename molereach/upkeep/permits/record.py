"""The stored record of one work item."""

from molereach.coordination.interface.identifiers import Name, NodeInstance, Position, WireStruct
from molereach.upkeep.permits.lifecycle import UNROUTABLE_STATES, State
from molereach.upkeep.requests.work_item import TimestampMs, WorkItem
from molereach.upkeep.rules.fleet_facts import Address
from molereach.upkeep.rules.scene import Absence, MachineInMaintenance
from molereach.upkeep.scheduling.ageing import WaitingItem


class ItemRecord(WireStruct, frozen=True):
    """A work item and its progress."""

    work: WorkItem
    by: NodeInstance  # the instance that proposed the request
    asked: Position  # of the request
    state: State
    since_ms: TimestampMs  # when the item entered its state
    passed: Position = 0  # how many later items started while it was queued
    passed_ms: TimestampMs = 0  # since when that is too often; 0 if it is not
    begun: Position = 0  # position of the entry that started its draining; 0 before it and after a recall
    begun_ms: TimestampMs = 0  # time of that entry
    cell: Name | None = None  # cell, zone and address at its start: it may not be listed meanwhile
    zone: Name | None = None
    address: Address = ""
    permit: Position = 0  # number of its permit
    until_ms: TimestampMs = 0  # when it is due to return
    gone: bool = False  # since its permit, facts have shown its machine as not ready or not listed
    hurried: bool = False  # its return is urgent, as the item was expedited or withdrawn
    name: Name | None = None  # the name under which it returned
    why: str = ""  # why it is withdrawn, or is to return early; empty otherwise

    @property
    def names(self) -> tuple[str, ...]:
        """All names by which proxies may send to it."""
        return tuple(dict.fromkeys((self.work.machine, self.name or self.work.machine)))

    @property
    def current_name(self) -> str:
        """The name that it has now."""
        return self.name or self.work.machine

    @property
    def waiting_item(self) -> WaitingItem:
        """The item as the scheduler sees it."""
        return WaitingItem(self.work, self.asked, self.passed_ms)

    def in_maintenance(self) -> dict[str, MachineInMaintenance]:
        """How its machine counts, by name. Once it is warm under a new name, the old name counts as lost."""
        groups = (("cell", self.cell), ("zone", self.zone)) if self.cell and self.zone else ()
        absence = Absence.LOST if self.state is State.LOST else Absence.AWAY
        if self.state is State.WARMING:
            absence = Absence.WARMING
        old_name_absence = Absence.LOST if absence is Absence.WARMING else absence
        return {
            name: MachineInMaintenance(
                self.work, absence if name == self.current_name else old_name_absence, groups, self.begun_ms
            )
            for name in self.names
        }

    @property
    def unroutable(self) -> tuple[str, ...]:
        """The names to which no new requests may be sent."""
        return self.names if self.state in UNROUTABLE_STATES else ()
