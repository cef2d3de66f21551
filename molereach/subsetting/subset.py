"""The subset of a long list that a proxy uses: the next backends behind it that are up, and substitutes.

The subset is a function of the proxy and the list alone (deterministic subsetting): a restarted proxy selects
the same one, and if many backends leave, the same rule adds others from further back. docs/design/view.md
compares it with alternatives. No I/O.
"""

from collections.abc import Sequence

from molereach.subsetting.idempotency_groups import IdempotencyGroups, ScopeKey
from molereach.subsetting.packed_records import is_up, name_of
from molereach.subsetting.placement import distance_behind
from molereach.subsetting.ring import Ring


class EndpointIndex:
    """The full list: the ring of records, and the groups of backends that can substitute each other."""

    __slots__ = ("__weakref__", "groups", "ring")

    def __init__(self, scope_keys: Sequence[ScopeKey]) -> None:
        self.ring = Ring()
        self.groups = [IdempotencyGroups(scope_of) for scope_of in scope_keys]

    @property
    def entry_count(self) -> int:
        """Number of entries that it holds."""
        return self.ring.count

    def put(self, position: int, record: bytes) -> bytes | None:
        """Add or replace a record; returns the previous one, or None."""
        previous = self.ring.put(position, record)
        if previous is not None:
            self.regroup(position, previous, record)
        elif is_up(record):
            for groups in self.groups:
                groups.add(position, record)
        return previous

    def remove(self, position: int, name: bytes) -> bytes | None:
        """Remove a name; returns its record, or None."""
        previous = self.ring.remove(position, name)
        self.regroup(position, previous, None)
        return previous

    def is_equivalent(self, before: bytes, after: bytes) -> bool:
        """Whether the selection of a subset treats two records of one backend the same."""
        return is_up(before) == is_up(after) and all(
            groups.scope_of(before) == groups.scope_of(after) for groups in self.groups
        )

    def regroup(self, position: int, before: bytes | None, after: bytes | None) -> None:
        """Update the groups for a change of a backend's record; None stands for no record."""
        was_up = before is not None and is_up(before)
        will_be_up = after is not None and is_up(after)
        for groups in self.groups:
            if was_up and will_be_up and groups.scope_of(before or b"") == groups.scope_of(after or b""):
                continue
            if was_up and before is not None:
                groups.remove(position, before)
            if will_be_up and after is not None:
                groups.add(position, after)


class Subset:
    """The selected records by name, and the data to decide whether a change of the list affects them."""

    __slots__ = ("max_distance", "members", "min_distance", "min_size", "proxy_position", "scopes")

    def __init__(self, proxy_position: int, min_distance: int, min_size: int) -> None:
        """Members are selected backwards from `proxy_position`, over `min_distance` and `min_size` of them at
        least.
        """
        self.proxy_position = proxy_position
        self.min_distance = min_distance
        self.min_size = min_size
        self.members: dict[bytes, bytes] = {}
        self.scopes: list[set[int]] = []  # zones or cells of the members, by kind of group
        self.max_distance = min_distance  # covered by the members other than substitutes

    def select(self, index: EndpointIndex) -> None:
        """Select all members again; the cost depends only on the size of the subset."""
        self.members = {}
        self.scopes = [set() for _ in index.groups]
        self.max_distance = self.min_distance
        for position, record in index.ring.up_backwards_from(self.proxy_position):
            distance = distance_behind(position, self.proxy_position)
            if len(self.members) >= self.min_size and distance >= self.min_distance:
                return
            self.max_distance = max(self.max_distance, distance)
            self.members[name_of(record)] = record
            self.add_substitutes(index, position, record)

    def add_substitutes(self, index: EndpointIndex, position: int, record: bytes) -> None:
        """Add the substitutes of a member."""
        for groups, scopes in zip(index.groups, self.scopes, strict=True):
            scope = groups.scope_of(record)
            scopes.add(scope)
            for substitute_position in groups.substitutes(position, record):
                for substitute in index.ring.up_at_position(substitute_position):
                    if groups.scope_of(substitute) == scope:  # other backends may be at the same position
                        self.members[name_of(substitute)] = substitute

    def is_affected_by(
        self, index: EndpointIndex, position: int, before: bytes | None, after: bytes | None
    ) -> bool:
        """Whether a change of one backend's record may change the subset.

        May be True for a change that does not; this only costs an unnecessary selection.
        """
        record = after or before
        if record is None:  # removal of an unknown backend
            return False
        is_member = name_of(record) in self.members
        if before is not None and after is not None and index.is_equivalent(before, after):
            return is_member
        if is_member or distance_behind(position, self.proxy_position) <= self.max_distance:
            return True
        if len(self.members) < self.min_size:  # the subset has all backends that are up
            return True
        return any(
            groups.scope_of(each) in scopes
            for each in (before, after)
            if each is not None
            for groups, scopes in zip(index.groups, self.scopes, strict=True)
        )
