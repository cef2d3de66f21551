"""Orders to proxies, and the record of decided orders as it is sent and stored.

Docstrings and field names of the structs are published in the API's description (`agent/openapi.json`), so
they must not change. `OrderStateRecord` is published as `BookState`.
"""

from enum import Enum

import msgspec

from molereach.fleet.errors import FleetError

MAX_NAME_BYTES = 64  # of an id, a subject or an issuer, in UTF-8
MAX_REASON_BYTES = 256
MAX_RECENT_REVISIONS = 256  # the latest revisions, whose orders are stored to recognise repeats
MAX_IN_FORCE = 256  # orders in force at once
MAX_REVISION = 1 << 53  # many JSON parsers read larger integers inexactly


class OrderError(FleetError, ValueError):
    """An order or a record of orders is not valid; its text is one line."""


class Verb(Enum):
    """What an order asks for."""

    DRAIN = "drain"  # no new requests to a server
    UNDRAIN = "undrain"
    HOLD = "hold"  # no new clients at a proxy
    RELEASE = "release"

    @property
    def reverts(self) -> "Verb | None":
        """The verb whose order this one ends for the same subject, or None."""
        return {Verb.UNDRAIN: Verb.DRAIN, Verb.RELEASE: Verb.HOLD}.get(self)


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One order.

    `based_on` is the revision of the book that its issuer saw; `lapses_ms` is Unix time in milliseconds from
    which it is void, 0 for never; `forced` goes past the floor of ready servers.
    """

    id: str
    verb: Verb
    subject: str  # name of a server, or of a proxy
    issuer: str
    reason: str
    based_on: int
    lapses_ms: int = 0
    forced: bool = False

    def check(self) -> None:
        """Raise OrderError if a field is empty, too long, not printable or out of range."""
        for name, text, max_bytes in (
            ("id", self.id, MAX_NAME_BYTES),
            ("subject", self.subject, MAX_NAME_BYTES),
            ("issuer", self.issuer, MAX_NAME_BYTES),
            ("reason", self.reason, MAX_REASON_BYTES),
        ):
            if not text or len(text.encode("utf-8", "replace")) > max_bytes or not text.isprintable():
                raise OrderError(f"{name}: not 1 to {max_bytes} bytes of printable text")
        if not 0 <= self.based_on <= MAX_REVISION or not 0 <= self.lapses_ms <= MAX_REVISION:
            raise OrderError(f"based_on and lapses_ms: not 0 to {MAX_REVISION}")


class Decided(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order that stands at a revision, at every agent alike."""

    revision: int
    order: Order

    def check(self) -> None:
        """Raise OrderError if the order or its revision is not valid."""
        self.order.check()
        if not 1 <= self.revision <= MAX_REVISION:
            raise OrderError(f"revision: not 1 to {MAX_REVISION}")


class OrderStateRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that a book holds, as it travels and as it is stored; in order of revision."""

    revision: int = 0
    in_force: tuple[Decided, ...] = ()
    recent: tuple[Decided, ...] = ()  # the latest ones, to recognise repeats and to name winners

    def check(self) -> None:
        """Raise OrderError if a limit, the order of revisions or a single order is not valid."""
        if not 0 <= self.revision <= MAX_REVISION:
            raise OrderError(f"revision: not 0 to {MAX_REVISION}")
        for name, decided_orders, max_orders in (
            ("in_force", self.in_force, MAX_IN_FORCE),
            ("recent", self.recent, MAX_RECENT_REVISIONS),
        ):
            revisions = [decided.revision for decided in decided_orders]
            if len(decided_orders) > max_orders or sorted(set(revisions)) != revisions:
                raise OrderError(f"{name}: not {max_orders} orders at most, in order of revision")
            for decided in decided_orders:
                decided.check()
            if revisions and revisions[-1] > self.revision:
                raise OrderError(f"{name}: an order from after revision {self.revision}")
        if any(decided.order.verb.reverts for decided in self.in_force):
            raise OrderError("in_force: an order that ends others is never in force itself")
