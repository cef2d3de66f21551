"""What is decided, applied in order: the state machines, the voters, the tail for other nodes, digests.

Everything here follows from the entries alone, so it is the same at all nodes at the same position. A machine
that raises is stopped at this node and named; the others go on.
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from molereach.coordination.interface.log import Applied, Entry, Outcome, StateMachine
from molereach.coordination.replicated_log.deduplication import (
    REPEATED_ERROR,
    REUSED_ERROR,
    DeduplicationTable,
)
from molereach.coordination.replicated_log.messages import Voters
from molereach.coordination.replicated_log.records import Snapshot
from molereach.coordination.replicated_log.settings import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, LogSettings
from molereach.coordination.replicated_log.voters import apply_change

LOG_MACHINE = (
    "log"  # the machine of entries of the log's own; `Entry.machine` cannot be empty once it was sent
)


@dataclass(frozen=True, slots=True)
class MachineFailed:
    """Action: a state machine raised and is stopped at this node."""

    machine: str
    reason: str


class ProposalResult(NamedTuple):
    """Where a proposal was applied, and its outcome."""

    position: int
    outcome: Outcome


def body_hash(body: bytes) -> bytes:
    """The BLAKE2b digest of a body, 16 bytes."""
    return blake2b(body, digest_size=16).digest()


class Learner:
    """All that was decided, as far as it is known here."""

    def __init__(self, voters: Voters, machines: Mapping[str, StateMachine], settings: LogSettings) -> None:
        self.settings = settings
        self.machines = machines
        self.voters = voters
        self.position = 0
        self.chain = b""
        self.last: Entry | None = None
        self.deduplication = DeduplicationTable(settings.max_deduplicated_ids)
        self.failed_machines: set[str] = set()
        self.tail: deque[Entry] = deque()
        self.tail_bytes = 0

    @property
    def at_ms(self) -> int:
        """The time of the last entry, Unix milliseconds; 0 without one."""
        return self.last.at_ms if self.last else 0

    # --- entries ---

    def unapplied(self, entries: Sequence[Entry]) -> tuple[Entry, ...]:
        """Those that follow what is applied here; none where there is a gap."""
        fresh = tuple(entry for entry in entries if entry.position > self.position)
        expected = range(self.position + 1, self.position + 1 + len(fresh))
        return fresh if [entry.position for entry in fresh] == list(expected) else ()

    def apply(self, entry: Entry) -> list[Applied | MachineFailed]:
        """Take the next entry."""
        assert entry.position == self.position + 1
        self.position = entry.position
        self.last = entry
        self.chain = blake2b(self.chain + msgspec.msgpack.encode(entry), digest_size=32).digest()
        self._append_to_tail(entry)
        failures: list[Applied | MachineFailed] = []
        body = body_hash(entry.body)
        done = self.deduplication.find(entry.id)
        if done is None:
            outcome = self._outcome(entry, failures)
            self.deduplication.add(entry, body, outcome)
        elif (done.machine, done.body) == (entry.machine, body):
            outcome = Outcome(REPEATED_ERROR.format(done.position))
        else:
            outcome = Outcome(REUSED_ERROR)
        return [*failures, Applied(entry, outcome)]

    def _outcome(self, entry: Entry, failures: list[Applied | MachineFailed]) -> Outcome:
        if entry.machine == LOG_MACHINE:
            self.voters, outcome = apply_change(self.voters, entry.body)
            return outcome
        machine = self.machines.get(entry.machine)
        if machine is None:
            return Outcome("no such machine")
        if entry.machine in self.failed_machines:
            return Outcome("stopped here by a fault")
        try:
            return machine.apply(entry)
        except Exception as error:
            failures.append(self._stop_machine(entry.machine, f"at entry {entry.position}: {error!r}"))
            return Outcome("stopped here by a fault")

    def _stop_machine(self, name: str, reason: str) -> MachineFailed:
        self.failed_machines.add(name)
        return MachineFailed(name, reason[:200])

    def outcome_of(self, entry_id: str, machine: str, body: bytes) -> ProposalResult | None:
        """The result of a proposal, if its id is remembered."""
        done = self.deduplication.find(entry_id)
        if done is None:
            return None
        same = (done.machine, done.body) == (machine, body_hash(body))
        return ProposalResult(done.position, done.outcome if same else Outcome(REUSED_ERROR))

    # --- the tail ---

    def _append_to_tail(self, entry: Entry) -> None:
        self.tail.append(entry)
        self.tail_bytes += len(entry.body)
        while (
            len(self.tail) > self.settings.max_tail_entries or self.tail_bytes > self.settings.max_tail_bytes
        ):
            self.tail_bytes -= len(self.tail.popleft().body)

    def entries_after(self, after: int) -> tuple[Entry, ...] | None:
        """A bounded number of entries after a position; None where the tail does not reach back."""
        if after >= self.position:
            return ()
        if not self.tail or self.tail[0].position > after + 1:
            return None
        skip = after + 1 - self.tail[0].position
        return first_batch(
            self.tail[index] for index in range(skip, min(len(self.tail), skip + MAX_BATCH_ENTRIES))
        )

    # --- snapshots ---

    def snapshot(self) -> Snapshot:
        """All state at the current position."""
        machines = {
            name: machine.snapshot()
            for name, machine in sorted(self.machines.items())
            if name not in self.failed_machines
        }
        return Snapshot(
            self.position,
            self.last,
            self.chain,
            self.voters,
            tuple(self.deduplication.proposals.values()),
            self.deduplication.floor,
            machines,
            tuple(sorted(self.failed_machines)),
        )

    def restore(self, snapshot: Snapshot) -> list[MachineFailed]:
        """Be what a snapshot says. A machine that cannot is stopped here."""
        failures = []
        for name, machine in self.machines.items():
            data = snapshot.machines.get(name)
            if name in snapshot.failed_machines:
                failures.append(self._stop_machine(name, "stopped before, by a fault"))
            elif data is not None:
                self.failed_machines.discard(name)
                try:
                    machine.restore(data)
                except Exception as error:
                    failures.append(self._stop_machine(name, f"snapshot of {snapshot.position}: {error!r}"))
        self.position = snapshot.position
        self.last = snapshot.last
        self.chain = snapshot.chain
        self.voters = snapshot.voters
        self.deduplication = DeduplicationTable(
            self.settings.max_deduplicated_ids, snapshot.applied_proposals, snapshot.deduplication_floor
        )
        self.tail.clear()
        self.tail_bytes = 0
        return failures

    def digest(self) -> str:
        """Of all entries and all state: equal at equal positions, everywhere."""
        return blake2b(msgspec.msgpack.encode(self.snapshot()), digest_size=16).hexdigest()


def first_batch(entries: Iterable[Entry]) -> tuple[Entry, ...]:
    """As many as fit into one message; at least one."""
    taken: list[Entry] = []
    size = 0
    for entry in entries:
        size += len(entry.body)
        if taken and (size > MAX_BATCH_BYTES or len(taken) == MAX_BATCH_ENTRIES):
            break
        taken.append(entry)
    return tuple(taken)
