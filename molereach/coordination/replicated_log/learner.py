"""The Paxos learner: applies decided entries to the state machines and the voters; snapshots and digests.

This state follows from the entries alone, so it is the same at all nodes at the same position. A machine that
raises an exception is stopped at this node and reported; the others continue. The newest entries are kept as
a tail for nodes that lack them.
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

# The machine of entries that change the voters. A proposal may leave `machine` empty for them, an entry not.
LOG_MACHINE = "log"


@dataclass(frozen=True, slots=True)
class MachineFailed:
    """Action: a state machine raised an exception and is stopped at this node."""

    machine: str
    reason: str


class ProposalResult(NamedTuple):
    """The position at which a proposal was applied, and its outcome."""

    position: int
    outcome: Outcome


def digest_of_body(body: bytes) -> bytes:
    """Return the BLAKE2b digest of a body, 16 bytes."""
    return blake2b(body, digest_size=16).digest()


class Learner:
    """The state after all entries applied at this node."""

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
        """The time of the last entry in Unix milliseconds; 0 without one."""
        return self.last.at_ms if self.last else 0

    # --- entries ---

    def unapplied(self, entries: Sequence[Entry]) -> tuple[Entry, ...]:
        """Return the entries that are not yet applied; none if there is a gap before or among them."""
        unapplied_entries = tuple(entry for entry in entries if entry.position > self.position)
        expected = range(self.position + 1, self.position + 1 + len(unapplied_entries))
        return unapplied_entries if [entry.position for entry in unapplied_entries] == list(expected) else ()

    def apply(self, entry: Entry) -> list[Applied | MachineFailed]:
        """Apply the next entry."""
        assert entry.position == self.position + 1
        self.position = entry.position
        self.last = entry
        self.chain = blake2b(self.chain + msgspec.msgpack.encode(entry), digest_size=32).digest()
        self._append_to_tail(entry)
        failures: list[Applied | MachineFailed] = []
        body_digest = digest_of_body(entry.body)
        earlier = self.deduplication.find(entry.id)
        if earlier is None:
            outcome = self._outcome(entry, failures)
            self.deduplication.add(entry, body_digest, outcome)
        elif (earlier.machine, earlier.body_digest) == (entry.machine, body_digest):
            outcome = Outcome(REPEATED_ERROR.format(earlier.position))
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
        """Return the result of a proposal, or None if its id is not known."""
        earlier = self.deduplication.find(entry_id)
        if earlier is None:
            return None
        is_same = (earlier.machine, earlier.body_digest) == (machine, digest_of_body(body))
        return ProposalResult(earlier.position, earlier.outcome if is_same else Outcome(REUSED_ERROR))

    # --- the tail ---

    def _append_to_tail(self, entry: Entry) -> None:
        self.tail.append(entry)
        self.tail_bytes += len(entry.body)
        while (
            len(self.tail) > self.settings.max_tail_entries or self.tail_bytes > self.settings.max_tail_bytes
        ):
            self.tail_bytes -= len(self.tail.popleft().body)

    def entries_after(self, after: int) -> tuple[Entry, ...] | None:
        """Return the next entries after a position, up to a bound; None if the tail begins later."""
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
        """Return the complete state at the current position."""
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
        """Replace the state with a snapshot. A machine that cannot be restored is stopped at this node."""
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
        """Return a digest of all entries and all state, equal at all nodes at the same position."""
        return blake2b(msgspec.msgpack.encode(self.snapshot()), digest_size=16).hexdigest()


def first_batch(entries: Iterable[Entry]) -> tuple[Entry, ...]:
    """Return as many of the entries as fit into one message, at least one."""
    batch: list[Entry] = []
    body_bytes = 0
    for entry in entries:
        body_bytes += len(entry.body)
        if batch and (body_bytes > MAX_BATCH_BYTES or len(batch) == MAX_BATCH_ENTRIES):
            break
        batch.append(entry)
    return tuple(batch)
