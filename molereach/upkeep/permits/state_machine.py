"""The state machine "upkeep": who is out, by which permit.

It decides by entries alone, by their own times and by what the sessions are at the same position. Whoever
proposes may be wrong, late, doubled or dead: the table, the guards and the proof are asked for each entry.
"""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from molereach.coordination.interface.log import Entry, Outcome
from molereach.upkeep.permits import snapshots
from molereach.upkeep.permits.bodies import MACHINE, Ask, Back, Move, Out, Seen, Stand, Word, decode
from molereach.upkeep.permits.fact_parts import gather
from molereach.upkeep.permits.guards import GUARDS
from molereach.upkeep.permits.lifecycle import BOUND, TABLE, UNSENDABLE, State, Step
from molereach.upkeep.permits.proof import SessionsAt, fault
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.registry import MOST_UNSTOOD, Book
from molereach.upkeep.permits.time_marks import marked, waited
from molereach.upkeep.requests.validation import MOST_OPEN, wrong
from molereach.upkeep.rules.evaluation import RULES
from molereach.upkeep.rules.fleet_facts import groups
from molereach.upkeep.rules.scene import Rule
from molereach.upkeep.rules.settings import UpkeepSettings

replace = msgspec.structs.replace


class RefusedError(ValueError):
    """An entry changes nothing; the text is one plain line."""


class Upkeep:
    """A `StateMachine`. `sessions` is the one on the same log, and is applied to the same position."""

    name = MACHINE

    def __init__(
        self, settings: UpkeepSettings, sessions: SessionsAt, rules: tuple[Rule, ...] = RULES
    ) -> None:
        self.settings, self.sessions = settings, sessions
        self.book = Book(settings, rules)

    def apply(self, entry: Entry) -> Outcome:
        try:
            body = decode(entry.body)
            record = _TAKES[type(body)](self, entry, body)
        except ValueError as error:
            return Outcome(str(error))
        self.book.marks = marked(self.book.marks, entry.position, entry.at_ms, self.settings.over_wait_ms)
        return Outcome(value=msgspec.json.encode(record) if record else b"")

    # --- entries ---

    def _ask(self, entry: Entry, body: Ask) -> Record:
        book, work = self.book, body.work
        said = wrong(work, book.open_works(), book.known(), book.fleet.kinds, entry.at_ms)
        if said:
            raise RefusedError(str(said))
        if (there := book.get(work.id)) is not None:
            return there
        if len(book.records) >= MOST_OPEN:  # what is lost counts too, until it is not listed any more
            raise RefusedError(f"id: more than {MOST_OPEN} works are open")
        return book.put(Record(work, entry.proposer, entry.position, State.ASKED, entry.at_ms))

    def _seen(self, entry: Entry, body: Seen) -> None:
        part = gather(self.book.part, body, entry.proposer, entry.at_ms)
        if part.facts.at_ms < self.book.fleet.facts.at_ms:
            raise RefusedError("later facts are known")
        whole = part.next == part.parts
        self.book.part = None if whole else part
        if whole:
            self.book.learn(part.facts, entry.at_ms)

    def _stand(self, entry: Entry, body: Stand) -> None:
        book, new = self.book, frozenset(body.servers)
        away = {name for each in book.records.values() if each.state in UNSENDABLE for name in each.names}
        if found := sorted(name for name in new if name not in book.fleet.servers or name in away):
            raise RefusedError(f"servers: {found[0]} cannot stand")
        unstood = self._still_of_use({**book.unstood, **dict.fromkeys(book.standing - new, entry.position)})
        if len(unstood) > MOST_UNSTOOD:
            raise RefusedError("servers: too many have changed")
        book.standing, book.unstood = new, {name: unstood[name] for name in unstood if name not in new}

    def _still_of_use(self, unstood: dict[str, int]) -> dict[str, int]:
        """Where a server ceased to stand before each session that is, or may serve on alone, began, nobody
        can count on it any more."""
        fences = [each.fencing_token for each in self.sessions.active_sessions()]
        fences += [each.fencing_token for each in self.sessions.lone()]
        return {name: position for name, position in unstood.items() if position >= min(fences, default=0)}

    def _move(self, entry: Entry, body: Move) -> Record:
        if body.step in (Step.OUT, Step.BACK):
            raise RefusedError(f"step: {body.step.value} has an entry of its own")
        record = self._record(body.id)
        record = self._step(entry, record, body.step, body.begun)
        match body.step:
            case Step.DRAIN:
                return self._begin(entry, record)
            case Step.RECALL:
                record = replace(record, begun=0, begun_ms=0)
            case Step.HURRY:
                record = replace(record, hurried=True)
            case Step.WITHDRAW:
                record = replace(record, hurried=True, why="withdrawn")
            case Step.LAPSE:
                record = replace(record, why="its window closed")
        return self.book.put(record)

    def _begin(self, entry: Entry, record: Record) -> Record:
        machine = self.book.fleet.get(record.work.machine)
        assert machine is not None  # as the rules have asked
        (_, cell), (_, zone) = groups(machine)
        record = replace(
            record, begun=entry.position, begun_ms=entry.at_ms, cell=cell, zone=zone, address=machine.address
        )
        self.book.put(record)
        self.book.pass_over(record, entry.at_ms)
        return record

    def _out(self, entry: Entry, body: Out) -> Record:
        record = self._step(entry, self._record(body.id), Step.OUT, body.begun)
        if said := self.fault(record, body.proof, entry.at_ms):
            raise RefusedError(f"proof: {said}")
        self.book.permits = self.number()
        until_ms = entry.at_ms + record.work.took_ms
        return self.book.put(replace(record, permit=self.book.permits, until_ms=until_ms, gone=False))

    def _back(self, entry: Entry, body: Back) -> Record:
        record = self._record(body.id)
        if record.permit != body.permit:
            raise RefusedError(f"permit: {body.id} has {record.permit or 'none'}")
        if body.name not in self.book.successors(record):
            raise RefusedError(f"name: {body.name} is neither {record.work.machine} nor its successor")
        record = self._step(entry, record, Step.BACK, record.begun)
        return self.book.put(replace(record, name=body.name))

    # --- what each step asks for ---

    def _record(self, id: str) -> Record:
        record = self.book.get(id)
        if record is None:
            raise RefusedError(f"id: no work {id}")
        return record

    def _step(self, entry: Entry, record: Record, step: Step, begun: int) -> Record:
        """The record after the step, not yet put."""
        state = self.next_state(record, step)
        if state is None:
            raise RefusedError(f"step: {record.work.id} is {record.state.value}")
        if step in BOUND and begun != record.begun:
            raise RefusedError(f"begun: {record.work.id} drains by {record.begun}")
        guard = GUARDS.get(step)
        if guard and (said := guard(self.book, record, entry.at_ms)):
            raise RefusedError(said)
        since_ms = record.since_ms if state is record.state else entry.at_ms
        return replace(record, state=state, since_ms=since_ms)

    def next_state(self, record: Record, step: Step) -> State | None:
        return TABLE.get((record.state, step))

    def fault(self, record: Record, words: Sequence[Word], at_ms: int) -> str:
        """What the proof lacks for this machine."""
        unstood = self.book.unstood.get(record.work.machine, -1)
        return fault(
            words, self.sessions, record.begun, unstood, lambda position: self.waited(position, at_ms)
        )

    def waited(self, position: int, at_ms: int) -> bool:
        return waited(self.book.marks, position, at_ms, self.settings.over_wait_ms)

    def number(self) -> int:
        """Of the next permit."""
        return self.book.permits + 1

    # --- snapshots ---

    def snapshot(self) -> bytes:
        return snapshots.snapshot(self.book)

    def restore(self, data: bytes) -> None:
        snapshots.restore(self.book, data)


_TAKES: dict[type, Callable[[Upkeep, Entry, Any], Record | None]] = {
    Ask: Upkeep._ask,
    Seen: Upkeep._seen,
    Stand: Upkeep._stand,
    Move: Upkeep._move,
    Out: Upkeep._out,
    Back: Upkeep._back,
}
