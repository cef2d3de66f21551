"""A replica with all state machines, as a front door has them, and what it comes to by the sample log."""

import json
from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from molereach.cache.purge.machine import Purges
from molereach.cache.purge.records import CompletedPurge
from molereach.coordination.interface.log import Applied, Entry, Outcome, StateMachine
from molereach.coordination.replicated_log.learner import Learner
from molereach.coordination.replicated_log.settings import LogSettings
from molereach.shards.counts.machine import CountsMachine
from molereach.shards.splits.machine import ShardsMachine, SplitSettings
from molereach.shards.splits.upkeep_status import NoUpkeep
from molereach.upkeep.permits.state_machine import UpkeepStateMachine
from molereach.upkeep.rules.settings import UpkeepSettings
from tests.compatibility import machines_log as sample_log
from tests.compatibility import machines_samples as samples
from tests.upkeep.state_machine_log import ProofSessions

MOMENTS = {
    "early": 18,
    "middle": 37,
    "end": 1_000,
}  # positions at which snapshots are recorded; the end is all there is
ENTRIES_FILE, OUTCOMES_FILE, RECEIPT_FILE = (
    "machines_entries.hex",
    "machines_outcomes.hex",
    "machines_receipt.json",
)
MACHINES = ("sessions", "shards", "upkeep", "purge", "counts")


def upkeep_settings() -> UpkeepSettings:
    """Limits that let the sample works go."""
    return UpkeepSettings(least_ready_cell=1, least_ready_zone=1, target=1000, least_in_set=1)


class Replica:
    """All state machines on one log."""

    def __init__(self) -> None:
        self.sessions = ProofSessions()
        self.shards = ShardsMachine(SplitSettings(window_ms=samples.WINDOW_MS), self.sessions, NoUpkeep())
        self.upkeep = UpkeepStateMachine(upkeep_settings(), self.sessions)
        self.purges = Purges(self.sessions)
        self.folds = CountsMachine(self.sessions, self.shards)
        machines: tuple[StateMachine, ...] = (
            self.sessions,
            self.shards,
            self.upkeep,
            self.purges,
            self.folds,
        )
        self.machines = {machine.name: machine for machine in machines}
        self.learner = Learner(samples.panel(), self.machines, LogSettings())

    def apply(self, entries: Iterable[Entry]) -> list[Outcome]:
        """What each entry came to; a machine that failed is a fault."""
        outcomes = []
        for entry in entries:
            (applied,) = self.learner.apply(entry)
            assert isinstance(applied, Applied)
            outcomes.append(applied.outcome)
        return outcomes

    def snapshot_bytes(self) -> bytes:
        """The log's snapshot, with those of all machines, as it goes to the disk and to others."""
        return msgspec.msgpack.encode(self.learner.snapshot())

    def hashes(self) -> str:
        """The chain over all entries, the digest of all state, and a hash of each machine's snapshot."""
        found = {"chain": self.learner.chain.hex(), "digest": self.learner.digest()}
        for name, machine in self.machines.items():
            found[name] = blake2b(machine.snapshot(), digest_size=16).hexdigest()
        return json.dumps(found, indent=2) + "\n"

    def receipt(self) -> bytes:
        """Of the purge that is done."""
        finished = self.purges.find(samples.purge_id(20, 1))
        assert isinstance(finished, CompletedPurge)
        return msgspec.json.encode(self.purges.receipt(finished))


def replica_at(position: int) -> Replica:
    """A replica that has applied the sample log up to a position."""
    replica = Replica()
    replica.apply(list(sample_log.entries().values())[:position])
    return replica


def snapshot_file(machine: str, moment: str) -> str:
    """The recorded snapshot of a machine."""
    return f"machines_snapshot_{machine}_{moment}.json"


def log_snapshot_file(moment: str) -> str:
    """The recorded snapshot of the log with all machines."""
    return f"machines_log_snapshot_{moment}.bin"


def hashes_file(moment: str) -> str:
    """The recorded hashes over the log and all state."""
    return f"machines_hashes_{moment}.json"


def outcomes() -> dict[str, Outcome]:
    """What each entry of the sample log comes to, by the names of its entries."""
    entries = sample_log.entries()
    return dict(zip(entries, Replica().apply(entries.values()), strict=True))
