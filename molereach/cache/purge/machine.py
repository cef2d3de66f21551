"""Which purges were asked for, which are done and by what proof: the state machine "purge".

Asked -> Done, never back. The proof is made here, from the sessions as the log has them and from which of
those still open have said `clear`; a proposer that is late, doubled or wrong about who is missing changes
nothing. What is forgotten is forgotten with its position, so an unknown id is new, or from before the window.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.cache.purge.bodies import MACHINE, Ask, Done, Ended, Standing, decode
from molereach.cache.purge.ids import drawn_at
from molereach.cache.purge.interned import Interned
from molereach.cache.purge.past import Past, Purged
from molereach.cache.purge.proof import SessionsView, cohort, roster
from molereach.cache.purge.receipt import Receipt, receipt_of
from molereach.cache.purge.records import Asked, Finished, Number
from molereach.cache.readings.settings import MOST_AGE_US
from molereach.coordination.interface.clearance import NodeClearance
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Position, WireStruct
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.sessions import ActiveSession

CLOCKS_MS = 5_000  # by which the wall clocks of front doors may differ
MOST_DONE_AT_ONCE = 128  # purges, by one entry
MOST_ROWS_AT_ONCE = 4_096  # of lists that are looked through for it


@dataclass(frozen=True, slots=True)
class Bounds:
    """The same at all front doors, as they decide what is kept: figures of this program, set by nobody."""

    most_pending: int = 16_384
    most_done: int = 16_384
    most_rows: int = 16_384  # of lists of sessions, and as many of lists of front doors
    most_past: int = 32_768
    keep_ms: int = MOST_AGE_US // 1000 + CLOCKS_MS


class _State(WireStruct, frozen=True):
    pending: tuple[Asked, ...]
    done: tuple[Finished, ...]
    forgotten: Position
    cohorts: tuple[tuple[Number, Annotated[tuple[ActiveSession, ...], Meta(max_length=MAX_MEMBERS)]], ...]
    next_cohort: Number
    rosters: tuple[tuple[Number, Annotated[tuple[NodeClearance, ...], Meta(max_length=MAX_MEMBERS)]], ...]
    next_roster: Number
    floor: Position
    past: tuple[Past, ...]


class Purges:
    """A `StateMachine` that looks at another, the sessions."""

    name = MACHINE

    def __init__(self, sessions: SessionsView, bounds: Bounds = Bounds()) -> None:
        self.sessions, self.bounds = sessions, bounds
        self.forgotten = 0  # the position of the newest purge of which nothing is known any more
        self.past = Purged(bounds.keep_ms, bounds.most_past)
        self.cohorts: Interned[ActiveSession] = Interned()
        self.rosters: Interned[NodeClearance] = Interned()
        self._pending: OrderedDict[str, Asked] = OrderedDict()  # in the order of the log, as the next
        self._done: OrderedDict[str, Finished] = OrderedDict()

    # --- what is asked of it ---

    def find(self, purge_id: str) -> Asked | Finished | None:
        return self._pending.get(purge_id) or self._done.get(purge_id)

    def forgot(self, purge_id: str) -> bool:
        """Whether an id that is not known may have been."""
        return drawn_at(purge_id) < self.forgotten

    def receipt(self, done: Finished) -> Receipt:
        return receipt_of(done, self.rosters[done.roster])

    def waiting(self, asked: Asked) -> tuple[ActiveSession, ...]:
        """Whose session was open then and is still: their word is needed."""
        return tuple(
            opened
            for opened in self.cohorts[asked.cohort]
            if self.sessions.active_session(opened.instance.name) == opened
        )

    def oldest(self, most: int) -> list[Asked]:
        """Of those that are pending."""
        found: list[Asked] = []
        for asked in self._pending.values():
            if len(found) >= most:
                break
            found.append(asked)
        return found

    @property
    def counts(self) -> dict[str, int]:
        return {"pending": len(self._pending), "done": len(self._done), "past": len(self.past)}

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        self.past.compact(entry.at_ms)
        try:
            body = decode(entry.body)
        except msgspec.DecodeError:  # its words are the library's, and may differ between its versions
            return Outcome("not understood")
        return self._ask(entry, body) if isinstance(body, Ask) else self._finish(entry, body)

    def _ask(self, entry: Entry, body: Ask) -> Outcome:
        if known := self.find(body.id):
            return self._again(known, body)
        if refused := self._refused(entry, body):
            return Outcome(refused)
        opened = cohort(self.sessions)
        if self.cohorts.rows + self.cohorts.costs(opened) > self.bounds.most_rows:
            return Outcome("front doors changed too often while purges are pending: ask again later")
        asked = Asked(
            body.id,
            body.member,
            body.class_name,
            body.shards,
            entry.position,
            entry.at_ms,
            self.cohorts.use(opened),
        )
        self._pending[body.id] = asked
        self.past.add(Past(body.member, body.class_name, entry.position, entry.at_ms))
        return Outcome(value=msgspec.json.encode(Standing(body.id, entry.position)))

    @staticmethod
    def _again(known: Asked | Finished, body: Ask) -> Outcome:
        """The same id for the same scope is the same purge, whatever was known of shards."""
        asked = known if isinstance(known, Asked) else known.asked
        if (asked.member, asked.class_name) != (body.member, body.class_name):
            return Outcome("this id is of another purge")
        done = known.position if isinstance(known, Finished) else 0
        return Outcome(value=msgspec.json.encode(Standing(body.id, asked.position, done)))

    def _refused(self, entry: Entry, body: Ask) -> str:
        if drawn_at(body.id) >= entry.position:
            return "this id was not drawn from this log"
        if self.forgot(body.id):
            return "too old to tell: ask anew, with a new id"
        if len(self._pending) >= self.bounds.most_pending:
            return f"{len(self._pending)} purges are pending: ask again later"
        if list(body.shards) != sorted(set(body.shards)):
            return "shards are to be named once each, in order"
        return ""

    def _finish(self, entry: Entry, body: Done) -> Outcome:
        """End those that are proven, the oldest first. Whose session keeps one pending was open for each that
        was asked for since, and is: so all after the first that is not proven are not, either."""
        said = frozenset(body.said)
        rosters: dict[int, int] = {}  # by cohort
        why, count, last, rows = "nothing is pending up to there", 0, 0, 0
        for asked in self.oldest(MOST_DONE_AT_ONCE):
            if asked.position > body.upto or rows > MOST_ROWS_AT_ONCE:
                break
            number = rosters.get(asked.cohort)
            if number is None:
                opened = self.cohorts[asked.cohort]
                rows += len(opened) + 1
                found = roster(opened, asked.position, said, self.sessions, entry.position)
                if isinstance(found, ActiveSession):
                    why = f"front door {found.instance.name} is not accounted for"
                    break
                rosters[asked.cohort] = self.rosters.use(found)
            else:
                self.rosters.again(number)
            self._done_with(entry, asked, rosters[asked.cohort])
            count, last = count + 1, asked.position
        self._trim()
        return Outcome(value=msgspec.json.encode(Ended(count, last))) if count else Outcome(why)

    def _done_with(self, entry: Entry, asked: Asked, number: int) -> None:
        del self._pending[asked.id]
        self.cohorts.release(asked.cohort)
        self._done[asked.id] = Finished(asked, entry.position, entry.at_ms, number)

    def _trim(self) -> None:
        """Forget the oldest that are done, in the order of the log."""
        while len(self._done) > self.bounds.most_done or self.rosters.rows > self.bounds.most_rows:
            _, finished = self._done.popitem(last=False)
            self.rosters.release(finished.roster)
            self.forgotten = finished.asked.position

    # --- snapshots ---

    def snapshot(self) -> bytes:
        return msgspec.json.encode(
            _State(
                tuple(self._pending.values()),
                tuple(self._done.values()),
                self.forgotten,
                self.cohorts.state(),
                self.cohorts.next,
                self.rosters.state(),
                self.rosters.next,
                self.past.floor,
                self.past.all(),
            )
        )

    def restore(self, data: bytes) -> None:
        try:
            state = msgspec.json.decode(data, type=_State)
            cohorts = Interned.of(state.cohorts, (asked.cohort for asked in state.pending), state.next_cohort)
            rosters = Interned.of(state.rosters, (done.roster for done in state.done), state.next_roster)
        except (msgspec.DecodeError, ValueError) as error:
            raise ValueError(f"not a snapshot of purges: {error}") from None
        positions = [
            [asked.position for asked in state.pending],
            [done.position for done in state.done],
            [past.position for past in state.past],
        ]
        ids = {each.id for each in state.pending} | {each.asked.id for each in state.done}
        if any(each != sorted(each) for each in positions) or len(ids) < len(state.pending) + len(state.done):
            raise ValueError("not a snapshot of purges: not as any log leaves it")
        self.cohorts, self.rosters, self.forgotten = cohorts, rosters, state.forgotten
        self._pending = OrderedDict((asked.id, asked) for asked in state.pending)
        self._done = OrderedDict((done.asked.id, done) for done in state.done)
        self.past.restore(state.floor, state.past)
