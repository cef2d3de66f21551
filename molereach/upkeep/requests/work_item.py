"""A work item: a request to take one machine out of service for maintenance. Also its checks that need no
other knowledge.

Times are Unix milliseconds. The machine may be unavailable only within the item's window: it is to be back in
service by `not_after_ms`.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import Id, Name, WireStruct

MINUTE_MS = 60_000
MAX_MINUTES = 7 * 24 * 60
MAX_REASON_CHARS = 200
MAX_NAMED_MACHINES = 8  # per field, beside the item's own machine
MAX_TIMESTAMP_MS = 1 << 53

TimestampMs = Annotated[int, Meta(ge=0, le=MAX_TIMESTAMP_MS)]
MachineNames = Annotated[tuple[Name, ...], Meta(max_length=MAX_NAMED_MACHINES)]


class MachineKind(Enum):
    """What kind of machine is to be maintained: a backend server or a front door."""

    SERVER = "server"
    DOOR = "door"


class WorkItem(WireStruct, frozen=True):
    """A request for maintenance of one machine.

    The same id with the same content is the same item, whichever proxy receives it.
    """

    id: Id
    machine: Name
    kind: MachineKind
    minutes: Annotated[int, Meta(ge=1, le=MAX_MINUTES)]
    not_before_ms: TimestampMs
    not_after_ms: TimestampMs
    reason: Annotated[str, Meta(min_length=1, max_length=MAX_REASON_CHARS)]
    not_with: MachineNames = ()  # machines that may not be unavailable at the same time
    after: MachineNames = ()  # machines whose open work items are to end first
    successor: Name | None = None  # another name under which the machine may return

    @property
    def duration_ms(self) -> int:
        """How long the maintenance itself takes."""
        return self.minutes * MINUTE_MS

    @property
    def latest_start_ms(self) -> int:
        """The last time at which the item may start and still end within its window."""
        return self.not_after_ms - self.duration_ms


@dataclass(frozen=True, slots=True)
class InvalidField:
    """The field for which a request is rejected, and the reason."""

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


def check_fields(work: WorkItem) -> InvalidField | None:
    """Checks a work item by itself. Lengths and ranges were already checked when it was decoded."""
    for field, text in (("id", work.id), ("reason", work.reason)):
        if not text.isprintable():
            return InvalidField(field, "not printable text")
    if work.not_after_ms <= work.not_before_ms:
        return InvalidField("not_after_ms", "the window ends before it begins")
    if work.latest_start_ms < work.not_before_ms:
        return InvalidField("not_after_ms", f"the window is shorter than {work.minutes} min")
    for field, names in (("after", work.after), ("not_with", work.not_with)):
        if work.machine in names:
            return InvalidField(field, f"{work.machine} itself is among them")
        if len(set(names)) != len(names):
            return InvalidField(field, "a machine is named twice")
    if work.successor == work.machine:
        return InvalidField("successor", "the machine's own name")
    return None
