"""What a front door sees of a long list: those next behind it that are up, with their stand-ins. A core.

The view is a function of the list alone: a front door that starts again sees the same, and a list that loses
many is filled up from further back by the same rule. Weighed against others in docs/design/view.md.
"""

from collections.abc import Callable, Sequence

from molereach.subsetting.idempotency_groups import Groups
from molereach.subsetting.packed_records import is_up, name_of
from molereach.subsetting.placement import behind
from molereach.subsetting.ring import Ring


class Whole:
    """The whole list: the ring and its groups."""

    __slots__ = ("__weakref__", "groups", "ring")

    def __init__(self, kinds: Sequence[Callable[[bytes], int]]) -> None:
        self.ring, self.groups = Ring(), [Groups(of) for of in kinds]

    @property
    def held(self) -> int:
        """Entries in it."""
        return self.ring.count

    def put(self, place: int, record: bytes) -> bytes | None:
        """The record before, if any."""
        before = self.ring.put(place, record)
        if before is not None:
            self.regroup(place, before, record)
        elif is_up(record):
            for groups in self.groups:
                groups.add(place, record)
        return before

    def remove(self, place: int, name: bytes) -> bytes | None:
        before = self.ring.remove(place, name)
        self.regroup(place, before, None)
        return before

    def alike(self, before: bytes, after: bytes) -> bool:
        """Whether both stand for the same in the choice of a view."""
        return is_up(before) == is_up(after) and all(
            groups.of(before) == groups.of(after) for groups in self.groups
        )

    def regroup(self, place: int, before: bytes | None, after: bytes | None) -> None:
        was, now = before is not None and is_up(before), after is not None and is_up(after)
        for groups in self.groups:
            if was and now and groups.of(before or b"") == groups.of(after or b""):
                continue
            if was and before is not None:
                groups.remove(place, before)
            if now and after is not None:
                groups.add(place, after)


class View:
    """The members by name, and what a change has to touch to concern them."""

    __slots__ = ("door", "held", "least", "members", "reach", "size")

    def __init__(self, door: int, least: int, size: int) -> None:
        """`door` is the front door's place, `least` how far back it sees in any case; `size` is the number of
        members from which it looks no further."""
        self.door, self.least, self.size = door, least, size
        self.members: dict[bytes, bytes] = {}
        self.held: list[set[int]] = []  # groups of members, by kind
        self.reach = least  # how far back it looked, at least

    def fill(self, whole: Whole) -> None:
        """Choose the members anew: cost follows from the view's size alone."""
        self.members, self.held = {}, [set() for _ in whole.groups]
        self.reach = self.least
        for place, record in whole.ring.up_back_from(self.door):
            far = behind(place, self.door)
            if len(self.members) >= self.size and far >= self.least:
                return
            self.reach = max(self.reach, far)
            self.members[name_of(record)] = record
            self.add_standins(whole, place, record)

    def add_standins(self, whole: Whole, place: int, record: bytes) -> None:
        for groups, held in zip(whole.groups, self.held, strict=True):
            held.add(groups.of(record))
            for other in groups.standins(place, record):
                for standin in whole.ring.up_at(other):
                    if groups.of(standin) == groups.of(record):  # and none that shares its place
                        self.members[name_of(standin)] = standin

    def concerns(self, whole: Whole, place: int, before: bytes | None, after: bytes | None) -> bool:
        """Whether a change may move the view; a few more are taken for such, and do no harm."""
        record = after or before
        if record is None:  # gone, and not known
            return False
        is_member = name_of(record) in self.members
        if before is not None and after is not None and whole.alike(before, after):
            return is_member
        if is_member or behind(place, self.door) <= self.reach:
            return True
        if len(self.members) < self.size:  # all is seen
            return True
        return any(
            groups.of(record) in held
            for record in (before, after)
            if record is not None
            for groups, held in zip(whole.groups, self.held, strict=True)
        )
