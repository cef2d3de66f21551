"""Which views one backend that goes or comes can move: no others are chosen anew, only to come out the same.

`Subset.is_affected_by` takes a few more, which does no harm in one front door. Bound to cells, of which a
view holds many, it takes most of all front doors.
"""

from bisect import bisect_left
from collections.abc import Callable

from molereach.subsetting.idempotency_groups import SUBSTITUTE_COUNT, IdempotencyGroups
from molereach.subsetting.packed_records import name_of
from molereach.subsetting.placement import distance_behind
from molereach.subsetting.subset import EndpointIndex, Subset

Touches = Callable[[Subset], bool]


def holding(record: bytes) -> Touches:
    """Of one that goes: those that hold it. What a view does not hold has no part in it."""
    name = name_of(record)
    return lambda view: name in view.members


def reaching(whole: EndpointIndex, place: int, record: bytes) -> Touches:
    """Of one that came: those that may hold it now, as it, or one that it stands in for, lies within what the
    view looked at. None looks further for it: of the stand-ins it pushes out one at most. Of views that are
    full, or look all round."""
    places = [place]
    for groups in whole.groups:
        places += stood_in_for(groups, place, record)

    def touches(view: Subset) -> bool:
        return any(distance_behind(each, view.proxy_position) <= view.max_distance for each in places)

    return touches


def stood_in_for(groups: IdempotencyGroups, place: int, record: bytes) -> list[int]:
    """The places of the ones before it in its group, of which `IdempotencyGroups.substitutes` yields it."""
    places = groups.positions_by_scope[groups.scope_of(record)]
    at = bisect_left(places, place)
    return [places[at - step] for step in range(1, 1 + min(SUBSTITUTE_COUNT, len(places) - 1))]
