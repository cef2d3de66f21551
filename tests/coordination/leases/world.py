"""A virtual world of front doors with clocks of their own, one true log, and what can go wrong between them.

The log here keeps to what `coordination/interface/log.py` promises and to no more: one order, each id once,
any proposal settled at any time or never, also when its proposer leads no more; `Confirmed` only if its asker
truly led after it asked. True time is in microseconds; each front door sees its own clock only.
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


class BrokenError(AssertionError):
    """What must never be, was."""


@dataclass(frozen=True, slots=True)
class Clock:
    """What a front door reads at a true time."""

    offset_us: int
    rate: float

    def at(self, true_us: int) -> int:
        return self.offset_us + int(true_us * self.rate)

    def true(self, here_us: int) -> int:
        return int((here_us - self.offset_us) / self.rate) + 1


@dataclass(eq=False)
class ProxyRun:
    """One run of one front door: its replica, its cores, and the mail that waits while it is stopped."""

    instance: NodeInstance
    clock: Clock
    sessions: SessionRegistry
    holder: LeaseHolder
    manager: LeaseManager
    leader: str | None = None
    stopped_until: int = 0
    cut_until: int = 0
    tick_at: int = 1 << 62
    mail: list[Callable[[], None]] = field(default_factory=list)
    learnt: int = 0  # entries of the order that were applied
    waiting: dict[str, ProposalFinished] = field(default_factory=dict)  # settled, not applied here yet
    out: set[str] = field(default_factory=set)  # proposals without their one word
    accounts: dict[int, AcknowledgementTracker] = field(default_factory=dict)


@dataclass(frozen=True)
class Cores:
    """What a world is made of; a mutation changes one."""

    holder: type[LeaseHolder] = LeaseHolder
    manager: type[LeaseManager] = LeaseManager
    sessions: type[SessionRegistry] = SessionRegistry
    account: type[AcknowledgementTracker] = AcknowledgementTracker
    terms: SessionTerms = TERMS


class World:
    """Runs until a true time; raises `BrokenError` where an invariant fails. All chance is of the seed."""

    def __init__(self, seed: int, cores: Cores = Cores(), rates: Sequence[float] = ()) -> None:
        self.chance, self.cores, self.rates = random.Random(seed), cores, rates
        self.quick = False  # words take under a millisecond: what is left is what clocks make
        self.lossy = True
        self.now, self._sequence = 0, 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self.proxies: dict[str, ProxyRun] = {}
        self.order: list[Entry] = []
        self.truth = cores.sessions()
        self.outcomes: list[Outcome] = []
        self.snapshots: list[bytes] = []
        self.ids: dict[str, int] = {}
        self.leader: ProxyRun | None = None
        self.ballot = 0
        self.over: set[int] = set()  # fences of sessions that were decided as ended or closed
        self.open_at: dict[
            int, dict[str, ActiveSession]
        ] = {}  # by position of an entry that forbids something
        self.proofs: dict[tuple[int, int], tuple[NodeClearance, ...]] = {}
        self.given = self.ended = self.proven = 0

    # --- time ---

    def after(self, delay_us: int, act: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + max(0, delay_us), self._sequence, act))

    def run(self, until_us: int) -> None:
        while self._queue and self._queue[0][0] <= until_us:
            self.now, _, act = heapq.heappop(self._queue)
            act()
            self.check()
        self.now = max(self.now, until_us)
        self.check()

    # --- front doors ---

    def start(self, name: str) -> ProxyRun:
        """Start a front door; an earlier run of the name is dead."""
        before = self.proxies.get(name)
        if before is not None and before is self.leader:
            self.leader = None
        instance = NodeInstance(name, before.instance.number + 1 if before else 1)
        rate = self.chance.choice(self.rates) if self.rates else 1.0
        sessions, terms = self.cores.sessions(), self.cores.terms
        holder = self.cores.holder(instance, sessions, terms, self.chance.random)
        proxy = ProxyRun(
            instance,
            Clock(self.chance.randrange(1 << 40), rate),
            sessions,
            holder,
            self.cores.manager(sessions, terms),
        )
        self.proxies[name] = proxy
        self.after(0, lambda: self.to(proxy, lambda: self.learn(proxy, len(self.order))))
        self.after(0, lambda: self.to(proxy, lambda: self.cores_handle(proxy, Tick())))
        return proxy

    def alive(self, proxy: ProxyRun) -> bool:
        return self.proxies[proxy.instance.name] is proxy

    def to(self, proxy: ProxyRun, act: Callable[[], None]) -> None:
        """Let a front door act; one that is stopped does so when it wakes, one that is dead never."""
        if not self.alive(proxy):
            return
        if self.now < proxy.stopped_until:
            proxy.mail.append(act)
            return
        act()
        self.plan(proxy)

    def stop(self, proxy: ProxyRun, for_us: int) -> None:
        proxy.stopped_until = max(proxy.stopped_until, self.now + for_us)
        self.after(for_us, lambda: self.wake(proxy))

    def wake(self, proxy: ProxyRun) -> None:
        if self.now < proxy.stopped_until:
            return
        mail, proxy.mail = proxy.mail, []
        for act in mail:
            self.to(proxy, act)
            self.check()

    def plan(self, proxy: ProxyRun) -> None:
        at = max(self.now, proxy.clock.true(min(proxy.holder.wake_us, proxy.manager.wake_us)))
        if at < proxy.tick_at or proxy.tick_at < self.now:
            proxy.tick_at = at
            self.after(at - self.now, lambda: self.to(proxy, lambda: self.tick(proxy, at)))

    def tick(self, proxy: ProxyRun, at: int) -> None:
        if proxy.tick_at == at:
            proxy.tick_at = 1 << 62
            self.cores_handle(proxy, Tick())

    def cores_handle(self, proxy: ProxyRun, event: Any) -> None:  # noqa: ANN401
        """Hand an event to who takes it, the keeper first: what was applied is told as applied last."""
        now_us = proxy.clock.at(self.now)
        if isinstance(
            event,
            (LeaderChanged, RenewalsReceived, LeadershipConfirmed, Tick, Applied, Restored, ProposalFinished),
        ):
            self.act(proxy, proxy.manager.handle(now_us, event))
        if isinstance(
            event, (Tick, Applied, Restored, ProposalFinished, GrantsReceived, LeaderChanged, ReleaseLease)
        ):
            self.act(proxy, proxy.holder.handle(now_us, event))

    def act(self, proxy: ProxyRun, actions: Sequence[Any]) -> None:
        for action in actions:
            match action:
                case RenewalRequest():
                    self.request(proxy, action)
                case SendGrants():
                    self.give(action)
                case Propose():
                    self.propose(proxy, action)
                case ConfirmLeadership():
                    self.confirm(proxy, action)

    # --- the tree ---

    def delay(self) -> int:
        """Mostly short; one in twenty is late by seconds, unless all is quick."""
        draw = self.chance.random()
        if self.quick:
            return 1 + int(draw * MS)
        if draw < 0.05:
            return int(self.chance.random() * 4 * SECOND_US)
        return MS + int(draw * 60 * MS)

    def copies(self) -> int:
        """How often a word arrives."""
        draw = self.chance.random() if self.lossy else 0.5
        return 0 if draw < 0.05 else 2 if draw > 0.95 else 1

    def request(self, proxy: ProxyRun, request: RenewalRequest) -> None:
        to = self.proxies.get(proxy.leader or "")
        if to is None or self.now < max(proxy.cut_until, to.cut_until):
            return
        for _ in range(self.copies()):
            self.after(
                self.delay(), lambda: self.to(to, lambda: self.cores_handle(to, RenewalsReceived((request,))))
            )

    def give(self, given: SendGrants) -> None:
        for grant in given.grants:
            self.given += 1
            to = self.proxies[grant.name]
            if self.now >= to.cut_until:
                for _ in range(self.copies()):
                    self.after(self.delay(), lambda to=to: self.granted(to, given))  # type: ignore[misc]

    def granted(self, proxy: ProxyRun, given: SendGrants) -> None:
        """By name, whoever runs under it by now: a grant may reach a later life."""
        to = self.proxies[proxy.instance.name]
        self.to(to, lambda: self.cores_handle(to, GrantsReceived(given.grants)))

    # --- the log ---

    def elect(self, proxy: ProxyRun) -> None:
        self.leader, self.ballot = proxy, self.ballot + 1
        for each in self.proxies.values():
            if each is proxy or not self.lossy or self.chance.random() < 0.85:  # some go on in an old belief
                news = LeaderChanged(proxy.instance.name, self.ballot, each is proxy)
                self.after(
                    self.delay(),
                    lambda each=each, news=news: self.to(  # type: ignore[misc]
                        each, lambda: self.hear(each, news)
                    ),
                )

    def hear(self, proxy: ProxyRun, news: LeaderChanged) -> None:
        proxy.leader = news.leader
        self.cores_handle(proxy, news)

    def confirm(self, proxy: ProxyRun, confirm: ConfirmLeadership) -> None:
        def followed() -> None:
            if self.leader is proxy and self.now >= proxy.cut_until:
                answer = LeadershipConfirmed(confirm.token, self.ballot)
                self.after(self.delay(), lambda: self.to(proxy, lambda: self.cores_handle(proxy, answer)))

        self.after(self.delay(), followed)

    def propose(self, proxy: ProxyRun, propose: Propose) -> None:
        proxy.out.add(propose.id)
        unknown = ProposalFinished(propose.id, ProposalStatus.UNKNOWN)
        self.after(
            int(propose.timeout_us / proxy.clock.rate),
            lambda: self.to(proxy, lambda: self.word(proxy, unknown)),
        )
        draw = self.chance.random() if self.lossy else 0.5
        if draw < 0.03:
            refused = ProposalFinished(propose.id, ProposalStatus.REJECTED)
            self.after(0, lambda: self.to(proxy, lambda: self.word(proxy, refused)))
        elif draw < 0.95 and self.now >= proxy.cut_until:
            self.after(self.delay(), lambda: self.settle(proxy, propose))

    def word(self, proxy: ProxyRun, over: ProposalFinished) -> None:
        if over.id in proxy.out:
            proxy.out.remove(over.id)
            self.cores_handle(proxy, over)

    def settle(self, proxy: ProxyRun, propose: Propose) -> None:
        if propose.id not in self.ids:
            self.append(propose, proxy.instance)
        position = self.ids[propose.id]
        over = ProposalFinished(propose.id, ProposalStatus.APPLIED, self.outcomes[position - 1], position)

        def told() -> None:
            if proxy.learnt >= position:
                self.word(proxy, over)
            else:
                proxy.waiting[propose.id] = over

        self.after(self.delay(), lambda: self.to(proxy, told))

    def append(self, propose: Propose, proposer: NodeInstance) -> Entry:
        position = len(self.order) + 1
        entry = Entry(position, propose.machine, propose.id, proposer, self.now // MS, propose.body)
        outcome = Outcome()
        if entry.machine == MACHINE:
            outcome = self.truth.apply(entry)
            body = decode(entry.body)
            if isinstance(body, (EndSession, CloseSession)) and not outcome.error:
                self.over.add(body.fencing_token)
                self.ended += isinstance(body, EndSession)
        else:
            self.open_at[position] = {each.instance.name: each for each in self.truth.active_sessions()}
        self.order.append(entry)
        self.outcomes.append(outcome)
        self.snapshots.append(self.truth.snapshot())
        self.ids[propose.id] = position
        for each in self.proxies.values():
            self.after(
                self.delay(),
                lambda each=each: self.to(  # type: ignore[misc]
                    each, lambda: self.learn(each, position)
                ),
            )
        return entry

    def learn(self, proxy: ProxyRun, position: int) -> None:
        """Apply the order up to a position, at times by a snapshot."""
        if position - proxy.learnt > 1 and self.chance.random() < 0.3:
            proxy.sessions.restore(self.snapshots[position - 1])
            self.accounts(proxy, range(proxy.learnt + 1, position + 1))
            proxy.learnt = position
            self.cores_handle(proxy, Restored(position))
        while proxy.learnt < position:
            entry = self.order[proxy.learnt]
            outcome = proxy.sessions.apply(entry) if entry.machine == MACHINE else Outcome()
            if entry.machine == MACHINE and outcome != self.outcomes[entry.position - 1]:
                raise BrokenError(f"another outcome at {entry.position}")
            proxy.learnt = entry.position
            self.accounts(proxy, range(entry.position, entry.position + 1))
            self.cores_handle(proxy, Applied(entry, outcome))
        for over in [over for over in proxy.waiting.values() if over.position <= proxy.learnt]:
            del proxy.waiting[over.id]
            self.word(proxy, over)

    def accounts(self, proxy: ProxyRun, positions: range) -> None:
        for position in positions:
            if position in self.open_at:
                now_us = proxy.clock.at(self.now)
                proxy.accounts[position] = self.cores.account(position, proxy.sessions, proxy.manager, now_us)

    # --- what must hold after each step ---

    def check(self) -> None:
        for proxy in self.proxies.values():
            if proxy.holder.holds(proxy.clock.at(self.now)) and proxy.holder.fencing_token in self.over:
                raise BrokenError(
                    f"{proxy.instance} holds {proxy.holder.fencing_token}, which is over, at {self.now}"
                )
            if self.now >= proxy.stopped_until:
                for position, account in list(proxy.accounts.items()):
                    if proof := account.proof():
                        del proxy.accounts[position]
                        self.proof(proxy, position, proof)

    def proof(self, proxy: ProxyRun, position: int, proof: tuple[NodeClearance, ...]) -> None:
        self.proven += 1
        known, were = {each.instance.name: each for each in proof}, self.open_at[position]
        often = {
            name for name, each in proxy.sessions._nodes.items() if each.first_dropped_token
        }  # the last are kept
        if (
            were.keys() - known.keys()
            or known.keys() - were.keys() - often
            or any(known[name].instance != were[name].instance for name in were.keys() - often)
        ):
            raise BrokenError(f"the proof of {position} is not of those that were open")
        if self.proofs.setdefault((position, proxy.learnt), proof) != proof:
            raise BrokenError(f"two proofs of {position} at {proxy.learnt}")
        for each in self.proxies.values():
            session = self.open_at[position].get(each.instance.name)
            held = session is not None and each.holder.fencing_token == session.fencing_token
            if held and each.learnt < position and each.holder.holds(each.clock.at(self.now)):
                raise BrokenError(f"{each.instance} holds without {position}, which was proven")
