"""The answer to a customer's status query about a purge, at any front door.

A receipt is the same everywhere and never changes. `Pending` holds at one position of the log, which it
names: a front door whose log is behind may still answer it while another already has the receipt, which is of
a later position. A customer that knows of a position can require it, and is answered `Behind` until the log
has been applied here up to it.
"""

from dataclasses import dataclass

from molereach.cache.purge.ids import is_purge_id
from molereach.cache.purge.machine import Purges
from molereach.cache.purge.receipt import Receipt
from molereach.cache.purge.records import CompletedPurge
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases.acknowledgements import MissingAcknowledgement


@dataclass(frozen=True, slots=True)
class AwaitedDoor:
    """A front door that has not cleared the purge. `since_ms` is the Unix time of the purge's entry."""

    door: NodeInstance
    since_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class Pending:
    """Requested at `requested_position`, and not complete at `as_of`."""

    id: str
    requested_position: int
    requested_ms: int
    as_of: int
    doors: tuple[AwaitedDoor, ...]


@dataclass(frozen=True, slots=True)
class Forgotten:
    """Older than the retained purges: whether it was completed is unknown, and the ID can't be used anew."""

    id: str


@dataclass(frozen=True, slots=True)
class NotFound:
    """Not settled up to `as_of`; the request may be under way. Repeating it with the same ID is safe."""

    id: str
    as_of: int


@dataclass(frozen=True, slots=True)
class Behind:
    """The log is applied here only up to `as_of`, which is before the required position."""

    id: str
    as_of: int


PurgeStatus = Receipt | Pending | Forgotten | NotFound | Behind

UNKNOWN_REASON = "its session is open; only the leader knows what it has reported"


def purge_status(
    purges: Purges,
    applied_position: int,
    purge_id: str,
    required_position: int = 0,
    missing: tuple[MissingAcknowledgement, ...] | None = None,
) -> PurgeStatus:
    """The status of a purge here, where the log is applied up to `applied_position`.

    At the leader, `missing` is what its driver reports for this purge. Raises ValueError for an invalid ID.
    """
    if not is_purge_id(purge_id):
        raise ValueError("not a purge ID")
    purge = purges.find(purge_id)
    if isinstance(purge, CompletedPurge):
        return purges.receipt(purge)
    if applied_position < required_position:
        return Behind(purge_id, applied_position)
    if purge is None:
        return (
            Forgotten(purge_id) if purges.may_be_forgotten(purge_id) else NotFound(purge_id, applied_position)
        )
    reasons = {acknowledgement.instance: acknowledgement.reason for acknowledgement in missing or ()}
    doors = [
        AwaitedDoor(session.instance, purge.at_ms, reasons.get(session.instance, UNKNOWN_REASON))
        for session in purges.awaited_sessions(purge)
        if missing is None or session.instance in reasons
    ]
    return Pending(purge_id, purge.position, purge.at_ms, applied_position, tuple(doors))
