"""Discrete-event simulation of front doors with their own clocks, a shared log, and faults between them.

The log gives only the guarantees of `coordination/interface/log.py`: one order of entries, each id at most
once, and any proposal chosen at any time or never, even after its proposer has stopped leading. It sends
`LeadershipConfirmed` only if the node still led after it asked. True time is in microseconds; a front door
reads only its own clock.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from molereach.coordination.interface.clearance import NodeClearance
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    ConfirmLeadership,
    Entry,
    LeaderChanged,
    LeadershipConfirmed,
    Outcome,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.coordination.interface.sessions import RenewalRequest, SessionTerms
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker
from molereach.coordination.leases.bodies import MACHINE, CloseSession, EndSession, decode
from molereach.coordination.leases.holder import LeaseHolder
from molereach.coordination.leases.manager import LeaseManager
from molereach.coordination.leases.messages import GrantsReceived, ReleaseLease, RenewalsReceived, SendGrants
from molereach.coordination.leases.sessions import ActiveSession, SessionRegistry

MS = 1000
TERMS = SessionTerms(2 * SECOND_US, 0.02)


class InvariantViolationError(AssertionError):
    """A lease invariant does not hold."""


@dataclass(frozen=True, slots=True)
class Clock:
    """A front door's clock, with an offset and a constant rate."""

    offset_us: int
    rate: float

    def read(self, true_us: int) -> int:
        return self.offset_us + int(true_us * self.rate)

    def true_time(self, local_us: int) -> int:
        return int((local_us - self.offset_us) / self.rate) + 1


@dataclass(eq=False)
class ProxyRun:
    """One run of a front door: its replica, its components, and the events deferred while it is paused."""

    instance: NodeInstance
    clock: Clock
    sessions: SessionRegistry
    holder: LeaseHolder
    manager: LeaseManager
    leader: str | None = None
    paused_until_us: int = 0
    isolated_until_us: int = 0
    tick_at_us: int = 1 << 62
    deferred: list[Callable[[], None]] = field(default_factory=list)
    applied_position: int = 0  # of the log
    unapplied_results: dict[str, ProposalFinished] = field(default_factory=dict)  # by proposal id
    unfinished_proposals: set[str] = field(default_factory=set)  # ids without a `ProposalFinished`
    trackers: dict[int, AcknowledgementTracker] = field(default_factory=dict)


@dataclass(frozen=True)
class Components:
    """The classes that a simulation is built of; a mutant replaces one of them."""

    holder: type[LeaseHolder] = LeaseHolder
    manager: type[LeaseManager] = LeaseManager
    sessions: type[SessionRegistry] = SessionRegistry
    tracker: type[AcknowledgementTracker] = AcknowledgementTracker
    terms: SessionTerms = TERMS


class Simulation:
    """Runs the simulation; raises `InvariantViolationError`. The seed determines every random draw."""

    def __init__(self, seed: int, components: Components = Components(), rates: Sequence[float] = ()) -> None:
        self.rng, self.components, self.rates = random.Random(seed), components, rates
        self.fast = False  # messages take under 1 ms, so that only clock differences matter
        self.lossy = True
        self.now_us, self._sequence = 0, 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self.proxies: dict[str, ProxyRun] = {}
        self.entries: list[Entry] = []
        self.reference = components.sessions()
        self.outcomes: list[Outcome] = []
        self.snapshots: list[bytes] = []
        self.positions_by_id: dict[str, int] = {}
        self.leader: ProxyRun | None = None
        self.ballot = 0
        self.ended_tokens: set[int] = set()  # fencing tokens of sessions that the log ended
        # By position of an entry of another state machine, then by name.
        self.sessions_open_at: dict[int, dict[str, ActiveSession]] = {}
        self.proofs: dict[tuple[int, int], tuple[NodeClearance, ...]] = {}
        self.grant_count = self.ended_count = self.proof_count = 0

    # --- time ---

    def schedule(self, delay_us: int, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_us + max(0, delay_us), self._sequence, callback))

    def run(self, until_us: int) -> None:
        while self._queue and self._queue[0][0] <= until_us:
            self.now_us, _, callback = heapq.heappop(self._queue)
            callback()
            self.check_invariants()
        self.now_us = max(self.now_us, until_us)
        self.check_invariants()

    # --- front doors ---

    def start(self, name: str) -> ProxyRun:
        """Start a front door; an earlier run of the name ends."""
        previous = self.proxies.get(name)
        if previous is not None and previous is self.leader:
            self.leader = None
        instance = NodeInstance(name, previous.instance.number + 1 if previous else 1)
        rate = self.rng.choice(self.rates) if self.rates else 1.0
        sessions, terms = self.components.sessions(), self.components.terms
        holder = self.components.holder(instance, sessions, terms, self.rng.random)
        proxy = ProxyRun(
            instance,
            Clock(self.rng.randrange(1 << 40), rate),
            sessions,
            holder,
            self.components.manager(sessions, terms),
        )
        self.proxies[name] = proxy
        self.schedule(0, lambda: self.run_on(proxy, lambda: self.apply_up_to(proxy, len(self.entries))))
        self.schedule(0, lambda: self.run_on(proxy, lambda: self.dispatch(proxy, Tick())))
        return proxy

    def is_current(self, proxy: ProxyRun) -> bool:
        return self.proxies[proxy.instance.name] is proxy

    def run_on(self, proxy: ProxyRun, callback: Callable[[], None]) -> None:
        """Run a callback on a front door: once it resumes if it is paused, never if it was replaced."""
        if not self.is_current(proxy):
            return
        if self.now_us < proxy.paused_until_us:
            proxy.deferred.append(callback)
            return
        callback()
        self.schedule_tick(proxy)

    def pause(self, proxy: ProxyRun, duration_us: int) -> None:
        proxy.paused_until_us = max(proxy.paused_until_us, self.now_us + duration_us)
        self.schedule(duration_us, lambda: self.resume(proxy))

    def resume(self, proxy: ProxyRun) -> None:
        if self.now_us < proxy.paused_until_us:
            return
        deferred, proxy.deferred = proxy.deferred, []
        for callback in deferred:
            self.run_on(proxy, callback)
            self.check_invariants()

    def schedule_tick(self, proxy: ProxyRun) -> None:
        tick_at_us = max(self.now_us, proxy.clock.true_time(min(proxy.holder.wake_us, proxy.manager.wake_us)))
        if tick_at_us < proxy.tick_at_us or proxy.tick_at_us < self.now_us:
            proxy.tick_at_us = tick_at_us
            self.schedule(
                tick_at_us - self.now_us,
                lambda: self.run_on(proxy, lambda: self.handle_tick(proxy, tick_at_us)),
            )

    def handle_tick(self, proxy: ProxyRun, tick_at_us: int) -> None:
        if proxy.tick_at_us == tick_at_us:
            proxy.tick_at_us = 1 << 62
            self.dispatch(proxy, Tick())

    def dispatch(self, proxy: ProxyRun, event: Any) -> None:  # noqa: ANN401
        """Pass an event to the components that handle it; the holder always comes last."""
        now_us = proxy.clock.read(self.now_us)
        if isinstance(
            event,
            (LeaderChanged, RenewalsReceived, LeadershipConfirmed, Tick, Applied, Restored, ProposalFinished),
        ):
            self.execute(proxy, proxy.manager.handle(now_us, event))
        if isinstance(
            event, (Tick, Applied, Restored, ProposalFinished, GrantsReceived, LeaderChanged, ReleaseLease)
        ):
            self.execute(proxy, proxy.holder.handle(now_us, event))

    def execute(self, proxy: ProxyRun, actions: Sequence[Any]) -> None:
        for action in actions:
            match action:
                case RenewalRequest():
                    self.send_request(proxy, action)
                case SendGrants():
                    self.send_grants(action)
                case Propose():
                    self.propose(proxy, action)
                case ConfirmLeadership():
                    self.confirm_leadership(proxy, action)

    # --- the dissemination tree ---

    def draw_delay_us(self) -> int:
        """A short delay, but up to 4 s for one message in twenty unless `fast` is set."""
        draw = self.rng.random()
        if self.fast:
            return 1 + int(draw * MS)
        if draw < 0.05:
            return int(self.rng.random() * 4 * SECOND_US)
        return MS + int(draw * 60 * MS)

    def draw_copy_count(self) -> int:
        """How many copies of a message arrive: 0 if it is lost, 2 if it is duplicated."""
        draw = self.rng.random() if self.lossy else 0.5
        return 0 if draw < 0.05 else 2 if draw > 0.95 else 1

    def send_request(self, proxy: ProxyRun, request: RenewalRequest) -> None:
        recipient = self.proxies.get(proxy.leader or "")
        if recipient is None or self.now_us < max(proxy.isolated_until_us, recipient.isolated_until_us):
            return
        for _ in range(self.draw_copy_count()):
            self.schedule(
                self.draw_delay_us(),
                lambda: self.run_on(
                    recipient, lambda: self.dispatch(recipient, RenewalsReceived((request,)))
                ),
            )

    def send_grants(self, action: SendGrants) -> None:
        for grant in action.grants:
            self.grant_count += 1
            recipient = self.proxies[grant.name]
            if self.now_us >= recipient.isolated_until_us:
                for _ in range(self.draw_copy_count()):
                    self.schedule(
                        self.draw_delay_us(),
                        lambda recipient=recipient: self.deliver_grants(  # type: ignore[misc]
                            recipient, action
                        ),
                    )

    def deliver_grants(self, proxy: ProxyRun, action: SendGrants) -> None:
        """Deliver to the current run of the name, so that a grant may reach a later instance."""
        current = self.proxies[proxy.instance.name]
        self.run_on(current, lambda: self.dispatch(current, GrantsReceived(action.grants)))

    # --- the log ---

    def elect(self, proxy: ProxyRun) -> None:
        self.leader, self.ballot = proxy, self.ballot + 1
        for recipient in self.proxies.values():
            # With losses, some front doors miss the change and keep their old view.
            if recipient is proxy or not self.lossy or self.rng.random() < 0.85:
                change = LeaderChanged(proxy.instance.name, self.ballot, recipient is proxy)
                self.schedule(
                    self.draw_delay_us(),
                    lambda recipient=recipient, change=change: self.run_on(  # type: ignore[misc]
                        recipient, lambda: self.notify_leader(recipient, change)
                    ),
                )

    def notify_leader(self, proxy: ProxyRun, change: LeaderChanged) -> None:
        proxy.leader = change.leader
        self.dispatch(proxy, change)

    def confirm_leadership(self, proxy: ProxyRun, request: ConfirmLeadership) -> None:
        def answer_if_leading() -> None:
            if self.leader is proxy and self.now_us >= proxy.isolated_until_us:
                answer = LeadershipConfirmed(request.token, self.ballot)
                self.schedule(
                    self.draw_delay_us(), lambda: self.run_on(proxy, lambda: self.dispatch(proxy, answer))
                )

        self.schedule(self.draw_delay_us(), answer_if_leading)

    def propose(self, proxy: ProxyRun, propose: Propose) -> None:
        proxy.unfinished_proposals.add(propose.id)
        unknown = ProposalFinished(propose.id, ProposalStatus.UNKNOWN)
        self.schedule(
            int(propose.timeout_us / proxy.clock.rate),
            lambda: self.run_on(proxy, lambda: self.finish_proposal(proxy, unknown)),
        )
        draw = self.rng.random() if self.lossy else 0.5
        if draw < 0.03:
            rejected = ProposalFinished(propose.id, ProposalStatus.REJECTED)
            self.schedule(0, lambda: self.run_on(proxy, lambda: self.finish_proposal(proxy, rejected)))
        elif draw < 0.95 and self.now_us >= proxy.isolated_until_us:
            self.schedule(self.draw_delay_us(), lambda: self.choose(proxy, propose))

    def finish_proposal(self, proxy: ProxyRun, result: ProposalFinished) -> None:
        if result.id in proxy.unfinished_proposals:
            proxy.unfinished_proposals.remove(result.id)
            self.dispatch(proxy, result)

    def choose(self, proxy: ProxyRun, propose: Propose) -> None:
        if propose.id not in self.positions_by_id:
            self.append(propose, proxy.instance)
        position = self.positions_by_id[propose.id]
        result = ProposalFinished(propose.id, ProposalStatus.APPLIED, self.outcomes[position - 1], position)

        def deliver_result() -> None:
            if proxy.applied_position >= position:
                self.finish_proposal(proxy, result)
            else:
                proxy.unapplied_results[propose.id] = result

        self.schedule(self.draw_delay_us(), lambda: self.run_on(proxy, deliver_result))

    def append(self, propose: Propose, proposer: NodeInstance) -> Entry:
        position = len(self.entries) + 1
        entry = Entry(position, propose.machine, propose.id, proposer, self.now_us // MS, propose.body)
        outcome = Outcome()
        if entry.machine == MACHINE:
            outcome = self.reference.apply(entry)
            body = decode(entry.body)
            if isinstance(body, (EndSession, CloseSession)) and not outcome.error:
                self.ended_tokens.add(body.fencing_token)
                self.ended_count += isinstance(body, EndSession)
        else:
            self.sessions_open_at[position] = {
                session.instance.name: session for session in self.reference.active_sessions()
            }
        self.entries.append(entry)
        self.outcomes.append(outcome)
        self.snapshots.append(self.reference.snapshot())
        self.positions_by_id[propose.id] = position
        for recipient in self.proxies.values():
            self.schedule(
                self.draw_delay_us(),
                lambda recipient=recipient: self.run_on(  # type: ignore[misc]
                    recipient, lambda: self.apply_up_to(recipient, position)
                ),
            )
        return entry

    def apply_up_to(self, proxy: ProxyRun, position: int) -> None:
        """Apply the log up to a position, at times by restoring a snapshot."""
        if position - proxy.applied_position > 1 and self.rng.random() < 0.3:
            proxy.sessions.restore(self.snapshots[position - 1])
            self.track_entries(proxy, range(proxy.applied_position + 1, position + 1))
            proxy.applied_position = position
            self.dispatch(proxy, Restored(position))
        while proxy.applied_position < position:
            entry = self.entries[proxy.applied_position]
            outcome = proxy.sessions.apply(entry) if entry.machine == MACHINE else Outcome()
            if entry.machine == MACHINE and outcome != self.outcomes[entry.position - 1]:
                raise InvariantViolationError(f"different outcome at {entry.position}")
            proxy.applied_position = entry.position
            self.track_entries(proxy, range(entry.position, entry.position + 1))
            self.dispatch(proxy, Applied(entry, outcome))
        for result in [
            result for result in proxy.unapplied_results.values() if result.position <= proxy.applied_position
        ]:
            del proxy.unapplied_results[result.id]
            self.finish_proposal(proxy, result)

    def track_entries(self, proxy: ProxyRun, positions: range) -> None:
        for position in positions:
            if position in self.sessions_open_at:
                now_us = proxy.clock.read(self.now_us)
                proxy.trackers[position] = self.components.tracker(
                    position, proxy.sessions, proxy.manager, now_us
                )

    # --- invariants, checked after each step ---

    def check_invariants(self) -> None:
        for proxy in self.proxies.values():
            if (
                proxy.holder.holds(proxy.clock.read(self.now_us))
                and proxy.holder.fencing_token in self.ended_tokens
            ):
                raise InvariantViolationError(
                    f"{proxy.instance} holds {proxy.holder.fencing_token}, which has ended, at {self.now_us}"
                )
            if self.now_us >= proxy.paused_until_us:
                for position, tracker in list(proxy.trackers.items()):
                    if proof := tracker.proof():
                        del proxy.trackers[position]
                        self.check_proof(proxy, position, proof)

    def check_proof(self, proxy: ProxyRun, position: int, proof: tuple[NodeClearance, ...]) -> None:
        self.proof_count += 1
        proven, expected = (
            {clearance.instance.name: clearance for clearance in proof},
            self.sessions_open_at[position],
        )
        # For a name with forgotten sessions, the proof may name a later instance.
        truncated = {name for name, node in proxy.sessions._nodes.items() if node.first_dropped_token}
        if (
            expected.keys() - proven.keys()
            or proven.keys() - expected.keys() - truncated
            or any(proven[name].instance != expected[name].instance for name in expected.keys() - truncated)
        ):
            raise InvariantViolationError(
                f"the proof of {position} does not match the sessions that were open"
            )
        if self.proofs.setdefault((position, proxy.applied_position), proof) != proof:
            raise InvariantViolationError(f"different proofs of {position} at {proxy.applied_position}")
        for candidate in self.proxies.values():
            session = self.sessions_open_at[position].get(candidate.instance.name)
            held = session is not None and candidate.holder.fencing_token == session.fencing_token
            if (
                held
                and candidate.applied_position < position
                and candidate.holder.holds(candidate.clock.read(self.now_us))
            ):
                raise InvariantViolationError(
                    f"{candidate.instance} holds without having applied {position}, which was proven"
                )
