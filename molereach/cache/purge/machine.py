"""The state machine "purge": which purges were requested, which are complete, and by what proof.

A purge goes from requested to completed and never back. The proof is made here, from the sessions in the log
and from which of the open ones have reported `clear`; a proposer that is late, runs twice or is wrong about
who is missing changes nothing.

The oldest completed purges are forgotten once there are too many. The position of the last forgotten request
is stored, and an ID contains the log position at which it was drawn. So an unknown ID that was drawn at or
after the stored position is new; an earlier one may be that of a forgotten purge.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.cache.purge.bodies import (
    MACHINE,
    CompletePurges,
    CompletionResult,
    RequestPurge,
    RequestResult,
    decode,
)
from molereach.cache.purge.ids import drawn_position
from molereach.cache.purge.intern_table import InternTable
from molereach.cache.purge.past import PastPurge, Purged
from molereach.cache.purge.proof import SessionReader, clearance_roster, open_cohort
from molereach.cache.purge.receipt import Receipt, build_receipt
from molereach.cache.purge.records import CompletedPurge, ListNumber, RequestedPurge
from molereach.cache.readings.settings import MAX_AGE_US
from molereach.coordination.interface.clearance import NodeClearance
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Position, WireStruct
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.sessions import ActiveSession

MAX_CLOCK_DIFFERENCE_MS = 5_000  # between the wall clocks of front doors
MAX_COMPLETED_PER_ENTRY = 128  # purges
# Sessions of cohorts that are checked to complete purges, plus one for each cohort. The bound is compared
# before each purge, so the last cohort may exceed it.
MAX_ROWS_PER_ENTRY = 4_096


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the stored purges, cohorts and rosters.

    They must be the same at all front doors, because the replicated state depends on them. So they are no
    operator settings: front doors use the defaults, and only tests pass others.
    """

    max_pending: int = 16_384
    max_completed: int = 16_384
    max_rows: int = 16_384  # sessions in all cohorts, and as many front doors in all rosters
    max_past: int = 32_768  # scopes of which the newest purge is kept for front doors that restore a snapshot
    retention_ms: int = MAX_AGE_US // 1000 + MAX_CLOCK_DIFFERENCE_MS


class _State(WireStruct, frozen=True):
    """The content of a snapshot."""

    pending: tuple[RequestedPurge, ...]
    done: tuple[CompletedPurge, ...]
    forgotten: Position
    cohorts: tuple[tuple[ListNumber, Annotated[tuple[ActiveSession, ...], Meta(max_length=MAX_MEMBERS)]], ...]
    next_cohort: ListNumber
    rosters: tuple[tuple[ListNumber, Annotated[tuple[NodeClearance, ...], Meta(max_length=MAX_MEMBERS)]], ...]
    next_roster: ListNumber
    floor: Position
    past: tuple[PastPurge, ...]


class Purges:
    """Implements `StateMachine`; reads another one, `sessions`.

    A cohort is the list of sessions that were open when a purge was requested; a roster is the list of how
    each front door of a cohort cleared it.

    A purge is pending until it is proven, then done: completed, with its receipt. It is forgotten once its
    receipt is not stored any more. Apart from that, `past` has the newest purge of each scope, be it pending,
    done or forgotten, for front doors that restore a snapshot in place of the entries.
    """

    name = MACHINE

    def __init__(self, sessions: SessionReader, bounds: Bounds = Bounds()) -> None:
        self.sessions, self.bounds = sessions, bounds
        self.forgotten_position = 0  # of the newest purge that is no longer stored
        self.past = Purged(bounds.retention_ms, bounds.max_past)
        self.cohorts: InternTable[ActiveSession] = InternTable()
        self.rosters: InternTable[NodeClearance] = InternTable()
        self._pending: OrderedDict[str, RequestedPurge] = OrderedDict()  # by ID, in the order of the log
        self._done: OrderedDict[str, CompletedPurge] = OrderedDict()  # by ID, in the order of the log

    # --- queries ---

    def find(self, purge_id: str) -> RequestedPurge | CompletedPurge | None:
        """The purge with an ID; None if it is not stored."""
        return self._pending.get(purge_id) or self._done.get(purge_id)

    def may_be_forgotten(self, purge_id: str) -> bool:
        """Whether an unknown ID may be that of a purge that was stored once."""
        return drawn_position(purge_id) < self.forgotten_position

    def receipt(self, purge: CompletedPurge) -> Receipt:
        """The receipt of a completed purge."""
        return build_receipt(purge, self.rosters[purge.roster])

    def awaited_sessions(self, purge: RequestedPurge) -> tuple[ActiveSession, ...]:
        """The sessions that were open at the request and still are: the proof needs their reports."""
        return tuple(
            session
            for session in self.cohorts[purge.cohort]
            if self.sessions.active_session(session.instance.name) == session
        )

    def oldest_pending(self, limit: int) -> list[RequestedPurge]:
        """Up to `limit` pending purges, the oldest first."""
        found: list[RequestedPurge] = []
        for purge in self._pending.values():
            if len(found) >= limit:
                break
            found.append(purge)
        return found

    @property
    def counts(self) -> dict[str, int]:
        """How many purges of each kind are stored."""
        return {"pending": len(self._pending), "done": len(self._done), "past": len(self.past)}

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        """Apply an entry of the log."""
        self.past.drop_expired(entry.at_ms)
        try:
            body = decode(entry.body)
        except msgspec.DecodeError:  # its text is the library's and may differ between versions
            return Outcome("not understood")
        return self._request(entry, body) if isinstance(body, RequestPurge) else self._complete(entry, body)

    def _request(self, entry: Entry, body: RequestPurge) -> Outcome:
        if known := self.find(body.id):
            return self._answer_repeated_request(known, body)
        if error := self._request_error(entry, body):
            return Outcome(error)
        cohort = open_cohort(self.sessions)
        if self.cohorts.row_count + self.cohorts.additional_rows(cohort) > self.bounds.max_rows:
            return Outcome("front doors changed too often while purges are pending: ask again later")
        requested = RequestedPurge(
            body.id,
            body.member,
            body.class_name,
            body.shards,
            entry.position,
            entry.at_ms,
            self.cohorts.acquire(cohort),
        )
        self._pending[body.id] = requested
        self.past.add(PastPurge(body.member, body.class_name, entry.position, entry.at_ms))
        return Outcome(value=msgspec.json.encode(RequestResult(body.id, entry.position)))

    @staticmethod
    def _answer_repeated_request(known: RequestedPurge | CompletedPurge, body: RequestPurge) -> Outcome:
        """The outcome of a request with a known ID: for the same scope it is the same purge, whichever shards
        are named."""
        requested = known if isinstance(known, RequestedPurge) else known.requested
        if (requested.member, requested.class_name) != (body.member, body.class_name):
            return Outcome("this id is of another purge")
        completed_position = known.position if isinstance(known, CompletedPurge) else 0
        return Outcome(
            value=msgspec.json.encode(RequestResult(body.id, requested.position, completed_position))
        )

    def _request_error(self, entry: Entry, body: RequestPurge) -> str:
        if drawn_position(body.id) >= entry.position:
            return "this id was not drawn from this log"
        if self.may_be_forgotten(body.id):
            return "too old to tell: ask anew, with a new id"
        if len(self._pending) >= self.bounds.max_pending:
            return f"{len(self._pending)} purges are pending: ask again later"
        if list(body.shards) != sorted(set(body.shards)):
            return "shards are to be named once each, in order"
        return ""

    def _complete(self, entry: Entry, body: CompletePurges) -> Outcome:
        """Complete the purges that are proven, the oldest first.

        A session that keeps a purge pending was open at all later requests too and still is, so after the
        first unproven purge none is proven.
        """
        cleared_tokens = frozenset(body.cleared_tokens)
        rosters: dict[int, int] = {}  # by cohort
        error, count, last_position, row_count = "nothing is pending up to there", 0, 0, 0
        for purge in self.oldest_pending(MAX_COMPLETED_PER_ENTRY):
            if purge.position > body.up_to_position or row_count > MAX_ROWS_PER_ENTRY:
                break
            number = rosters.get(purge.cohort)
            if number is None:
                cohort = self.cohorts[purge.cohort]
                row_count += len(cohort) + 1
                roster_or_open_session = clearance_roster(
                    cohort, purge.position, cleared_tokens, self.sessions, entry.position
                )
                if isinstance(roster_or_open_session, ActiveSession):
                    error = f"front door {roster_or_open_session.instance.name} is not accounted for"
                    break
                rosters[purge.cohort] = self.rosters.acquire(roster_or_open_session)
            else:
                self.rosters.acquire_number(number)
            self._complete_purge(entry, purge, rosters[purge.cohort])
            count, last_position = count + 1, purge.position
        self._forget_oldest()
        return (
            Outcome(value=msgspec.json.encode(CompletionResult(count, last_position)))
            if count
            else Outcome(error)
        )

    def _complete_purge(self, entry: Entry, purge: RequestedPurge, roster_number: int) -> None:
        del self._pending[purge.id]
        self.cohorts.release(purge.cohort)
        self._done[purge.id] = CompletedPurge(purge, entry.position, entry.at_ms, roster_number)

    def _forget_oldest(self) -> None:
        """Remove the oldest completed purges that exceed the bounds, in the order of the log."""
        while len(self._done) > self.bounds.max_completed or self.rosters.row_count > self.bounds.max_rows:
            _, completed = self._done.popitem(last=False)
            self.rosters.release(completed.roster)
            self.forgotten_position = completed.requested.position

    # --- snapshots ---

    def snapshot(self) -> bytes:
        """The state as JSON."""
        return msgspec.json.encode(
            _State(
                tuple(self._pending.values()),
                tuple(self._done.values()),
                self.forgotten_position,
                self.cohorts.snapshot(),
                self.cohorts.next_number,
                self.rosters.snapshot(),
                self.rosters.next_number,
                self.past.floor,
                self.past.entries(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Take over a snapshot's state; raises ValueError and changes nothing if it is invalid."""
        try:
            state = msgspec.json.decode(data, type=_State)
            cohorts = InternTable.from_snapshot(
                state.cohorts, (purge.cohort for purge in state.pending), state.next_cohort
            )
            rosters = InternTable.from_snapshot(
                state.rosters, (completed.roster for completed in state.done), state.next_roster
            )
        except (msgspec.DecodeError, ValueError) as error:
            raise ValueError(f"not a snapshot of purges: {error}") from None
        position_lists = [
            [purge.position for purge in state.pending],
            [completed.position for completed in state.done],
            [past.position for past in state.past],
        ]
        ids = {purge.id for purge in state.pending} | {completed.requested.id for completed in state.done}
        if any(positions != sorted(positions) for positions in position_lists) or len(ids) < len(
            state.pending
        ) + len(state.done):
            raise ValueError("not a snapshot of purges: positions out of order or duplicate ids")
        self.cohorts, self.rosters, self.forgotten_position = cohorts, rosters, state.forgotten
        self._pending = OrderedDict((purge.id, purge) for purge in state.pending)
        self._done = OrderedDict((completed.requested.id, completed) for completed in state.done)
        self.past.restore(state.floor, state.past)
