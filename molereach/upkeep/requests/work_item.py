"""A work on one machine, as it is asked for, and what can be wrong with it by itself.

Times are Unix milliseconds. A work's window is that in which the machine may be away: it is back by
`not_after_ms`.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import Id, Name, WireStruct

MINUTE_MS = 60_000
MOST_MINUTES = 7 * 24 * 60
MOST_REASON_CHARS = 200
MOST_NAMED = 8  # machines that one work may name beside its own
MOST_MS = 1 << 53

Ms = Annotated[int, Meta(ge=0, le=MOST_MS)]
Named = Annotated[tuple[Name, ...], Meta(max_length=MOST_NAMED)]


class Kind(Enum):
    """What is taken out."""

    SERVER = "server"
    DOOR = "door"


class Work(WireStruct, frozen=True):
    """What an asker wants; the same id with the same content is the same work, wherever it is asked."""

    id: Id
    machine: Name
    kind: Kind
    minutes: Annotated[int, Meta(ge=1, le=MOST_MINUTES)]
    not_before_ms: Ms
    not_after_ms: Ms
    reason: Annotated[str, Meta(min_length=1, max_length=MOST_REASON_CHARS)]
    not_with: Named = ()  # may not be out while this one is
    after: Named = ()  # whose open works come first
    successor: Name | None = None  # the name under which it may come back

    @property
    def took_ms(self) -> int:
        return self.minutes * MINUTE_MS

    @property
    def latest_ms(self) -> int:
        """From when on it cannot begin any more."""
        return self.not_after_ms - self.took_ms


@dataclass(frozen=True, slots=True)
class Wrong:
    """What is wrong with a work that is asked for."""

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


def wrong_by_itself(work: Work) -> Wrong | None:
    """What no knowledge of the fleet is needed for. Lengths and ranges were checked as it was decoded."""
    for field, text in (("id", work.id), ("reason", work.reason)):
        if not text.isprintable():
            return Wrong(field, "not printable text")
    if work.not_after_ms <= work.not_before_ms:
        return Wrong("not_after_ms", "the window ends before it begins")
    if work.latest_ms < work.not_before_ms:
        return Wrong("not_after_ms", f"the window is shorter than {work.minutes} min")
    for field, names in (("after", work.after), ("not_with", work.not_with)):
        if work.machine in names:
            return Wrong(field, f"{work.machine} itself is among them")
        if len(set(names)) != len(names):
            return Wrong(field, "a machine is named twice")
    if work.successor == work.machine:
        return Wrong("successor", "the machine's own name")
    return None
