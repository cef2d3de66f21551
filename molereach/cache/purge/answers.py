"""What a customer is told of a purge, by whichever front door it asks.

A receipt is the same everywhere and for good. `Pending` is true of one position of the log and says which: a
front door that is behind may still say it while another has the receipt, which is of a later position. Who
has heard of a position asks for no less, and is told `Behind` until that is here.
"""

from dataclasses import dataclass

from molereach.cache.purge.ids import is_id
from molereach.cache.purge.machine import Purges
from molereach.cache.purge.receipt import Receipt
from molereach.cache.purge.records import Finished
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases.acknowledgements import MissingAcknowledgement


@dataclass(frozen=True, slots=True)
class Waiting:
    """A front door whose part is missing. `since_ms` is Unix time, of the entry that asked."""

    door: NodeInstance
    since_ms: int
    why: str


@dataclass(frozen=True, slots=True)
class Pending:
    """Asked for at `asked`, and not done at `as_of`."""

    id: str
    asked: int
    asked_ms: int
    as_of: int
    doors: tuple[Waiting, ...]


@dataclass(frozen=True, slots=True)
class TooOld:
    """From before what is remembered: whether it was done can't be told, and it is not asked for anew."""

    id: str


@dataclass(frozen=True, slots=True)
class NotHere:
    """Not settled up to `as_of`: it may be under way. To ask for it again with the same id is harmless."""

    id: str
    as_of: int


@dataclass(frozen=True, slots=True)
class Behind:
    """The log is known here only up to `as_of`, which is less than was asked for."""

    id: str
    as_of: int


Answer = Receipt | Pending | TooOld | NotHere | Behind

UNTOLD = "its session is open, and what it has said is known where the leader is"


def answer(
    purges: Purges,
    applied: int,
    purge_id: str,
    least: int = 0,
    missing: tuple[MissingAcknowledgement, ...] | None = None,
) -> Answer:
    """What is known here, where the log was applied up to `applied`. At the leader, `missing` is what its
    driver says of this purge. ValueError for what is no id."""
    if not is_id(purge_id):
        raise ValueError("not an id of a purge")
    known = purges.find(purge_id)
    if isinstance(known, Finished):
        return purges.receipt(known)
    if applied < least:
        return Behind(purge_id, applied)
    if known is None:
        return TooOld(purge_id) if purges.forgot(purge_id) else NotHere(purge_id, applied)
    whys = {each.instance: each.reason for each in missing or ()}
    doors = [
        Waiting(opened.instance, known.at_ms, whys.get(opened.instance, UNTOLD))
        for opened in purges.waiting(known)
        if missing is None or opened.instance in whys
    ]
    return Pending(purge_id, known.position, known.at_ms, applied, tuple(doors))
