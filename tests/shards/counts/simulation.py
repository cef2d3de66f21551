"""Front doors that count on a simulated log with real sessions; messages may be lost, duplicated or late."""

from collections.abc import Callable

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, Outcome, Propose
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.sessions import EndedSession, SessionRegistry
from molereach.shards.counts import bodies
from molereach.shards.counts.bodies import Retire
from molereach.shards.counts.machine import CountsMachine
from molereach.shards.counts.recorder import (
    REPORT_INTERVAL_US,
    CountRecorder,
    LeaderChanged,
    WriteConfirmed,
)
from molereach.shards.proof import SessionClearance


class ShardsBelow100:
    """A map with the shards below 100."""

    def has_shard(self, shard: int) -> bool:
        return shard < 100


class Proxy:
    """An instance of a front door with its own copy of the state machines, which may lag."""

    def __init__(self, instance: NodeInstance, machine: type[CountsMachine] = CountsMachine) -> None:
        self.instance, self.sessions = instance, SessionRegistry()
        self.counts = machine(self.sessions, ShardsBelow100())
        self.recorder = CountRecorder(instance, self.counts, 0)
        self.applied, self.alive, self.written = 0, True, 0

    def apply(self, now_us: int, entry: Entry) -> Outcome:
        machine = self.sessions if entry.machine == leases.MACHINE else self.counts
        outcome = machine.apply(entry)
        self.applied = entry.position
        self.recorder.handle(now_us, Applied(entry, outcome))
        return outcome


class Simulation:
    """The log, its front doors and the messages between them."""

    def __init__(self, draw: Callable[[], float], machine: type[CountsMachine] = CountsMachine) -> None:
        self.draw, self.machine, self.now_us = draw, machine, 0
        self.entries: list[Entry] = []
        self.proxies: dict[NodeInstance, Proxy] = {}
        self.reference = Proxy(NodeInstance("truth", 0), machine)  # applies each entry at once
        self.outcomes: list[Outcome] = []
        self.confirmed: dict[int, int] = {}  # bytes by shard, as the backends have them
        self.messages: list[tuple[str, object]] = []  # in flight, with their recipients

    def append(self, machine: str, body: bytes, proposer: NodeInstance) -> Outcome:
        """Append an entry to the log."""
        entry = Entry(len(self.entries) + 1, machine, f"id{len(self.entries)}", proposer, 1000, body)
        self.entries.append(entry)
        self.outcomes.append(self.reference.apply(self.now_us, entry))
        return self.outcomes[-1]

    def start(self, instance: NodeInstance) -> Proxy:
        """Start a front door with a session and all entries."""
        self.proxies[instance] = Proxy(instance, self.machine)
        self.append(leases.MACHINE, leases.encode(leases.OpenSession(instance)), instance)
        self.catch_up(instance)
        self.elect(self.leader)
        return self.proxies[instance]

    leader = "a"

    def elect(self, name: str) -> None:
        """Make a front door the leader; all know it at once."""
        self.leader = name
        for proxy in self.proxies.values():
            proxy.recorder.handle(self.now_us, LeaderChanged(name))

    def expire_session(self, instance: NodeInstance) -> None:
        """End the instance's open session."""
        active = self.reference.sessions.active_session(instance.name)
        assert active
        end = leases.EndSession(instance, active.fencing_token, 0)
        assert not self.append(leases.MACHINE, leases.encode(end), instance).error

    def catch_up(self, instance: NodeInstance, max_entries: int = 1 << 30) -> None:
        """Apply the next entries at a front door."""
        proxy = self.proxies[instance]
        for entry in self.entries[proxy.applied : proxy.applied + max_entries]:
            proxy.apply(self.now_us, entry)

    def write(self, instance: NodeInstance, shard: int, size: int) -> None:
        """A write that a backend confirms to a front door."""
        self.confirmed[shard] = self.confirmed.get(shard, 0) + size
        self.proxies[instance].recorder.handle(self.now_us, WriteConfirmed(shard, size))

    def tick(self, instance: NodeInstance, loss: float = 0.0) -> None:
        """An interval passes; proposals are lost with this probability."""
        proxy = self.proxies[instance]
        self.now_us += 2 * REPORT_INTERVAL_US + 1
        for action in proxy.recorder.handle(self.now_us, Tick()):
            if isinstance(action, SendMessage):
                self.messages.append((action.recipient, action.message))
            elif isinstance(action, Propose) and self.draw() >= loss:
                self.append(action.machine, action.body, instance)

    def deliver(self, index: int, duplicate: bool) -> None:
        """Deliver a message; a duplicated one stays in flight."""
        recipient, message = self.messages[index] if duplicate else self.messages.pop(index)
        for instance, proxy in self.proxies.items():
            if instance.name == recipient and proxy.alive:
                proxy.recorder.handle(self.now_us, MessageReceived(instance, message))

    def retire(self, instance: NodeInstance) -> Outcome:
        """Propose to retire an instance, with the most complete proof that exists."""
        folded_at = self.reference.counts.folded_at(instance)
        if folded_at is None:
            return Outcome("not folded")
        proof = []
        for session in self.reference.sessions.sessions_open_at(folded_at):
            proxy = self.proxies.get(session.instance)
            if isinstance(session, EndedSession):
                proof.append(SessionClearance(session.fencing_token, session.evidence, session.position))
            elif proxy and proxy.recorder.clear_position >= folded_at:
                proof.append(
                    SessionClearance(
                        session.fencing_token,
                        ClearanceEvidence.REPORTED,
                        proxy.recorder.clear_position,
                    )
                )
        return self.append(bodies.MACHINE, bodies.encode(Retire(instance, folded_at, tuple(proof))), instance)

    def can_be_lost(self, instance: NodeInstance) -> bool:
        """Whether others have all counts that this front door knows; unreported counts are lost with it."""
        lost = self.proxies[instance]
        lost.recorder.merged.merge(instance, lost.recorder.counter.rows())
        others = [proxy.recorder.merged for each, proxy in self.proxies.items() if each != instance]
        for each in lost.recorder.merged.instances():
            if self.reference.counts.is_retired(each):
                continue
            missing = set(lost.recorder.merged.rows_of(each)) - {
                row for other in others for row in other.rows_of(each)
            }
            folded = self.reference.counts.folded().get(each, {})
            if any(folded.get(row.shard) is None or folded[row.shard].bytes < row.bytes for row in missing):
                return False
        return True

    def counted(self, instance: NodeInstance) -> dict[int, int]:
        """Bytes by shard, as a front door counts them."""
        return {
            shard: count.bytes for shard, count in self.proxies[instance].recorder.merged.totals().items()
        }
