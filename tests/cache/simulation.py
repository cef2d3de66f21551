"""A simulation of several front doors over one log, with a server whose answers say when it read the data.

The log keeps what `coordination/interface/log.py` promises and no more: one order, entries that arrive late,
in part or by snapshot, and proposals that are settled late, twice or never. Sessions are timed by clocks at
the limit of their drift, and renewed and ended as in `coordination/leases`. Times are true microseconds; each
front door sees only its own clock. The `check` functions raise `InvariantError` where an invariant is
violated.
"""

import random
from collections.abc import Callable, Sequence
from functools import partial

from molereach.cache.door import LogAdvanced
from molereach.cache.fills.admission import FillResult
from molereach.cache.purge.bodies import MACHINE, CompletePurges, RequestPurge, encode
from molereach.cache.purge.ids import draw_id
from molereach.cache.purge.receipt import Receipt, is_intact
from molereach.cache.purge.records import CompletedPurge, RequestedPurge
from molereach.cache.purge.status import purge_status
from molereach.cache.purge_driver import PurgeDriver
from molereach.cache.readings.settings import SECOND_US
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, LeaderChanged, Outcome, Propose, Restored
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker
from molereach.coordination.leases.sessions import SessionRegistry
from tests.cache.simulation_parts import (
    CLASSES,
    CLOCK_RATES,
    LONG_AGES,
    MEMBERS,
    REAL,
    SHORT_AGES,
    TERMS,
    HolderSession,
    Implementation,
    InvariantError,
    Report,
    SimulatedProxy,
)


class Simulation:
    """Several front doors with their log, customers and server. Deterministic for a seed."""

    def __init__(self, seed: int, implementation: Implementation = REAL, proxy_count: int = 3) -> None:
        self.random, self.implementation = random.Random(seed), implementation
        self.settings = LONG_AGES if seed % 3 else SHORT_AGES
        self.now_us, self.at_ms, self.ballot = 0, 10**6, 0
        self.entries: list[Entry] = []
        self.messages: list[tuple[int, Callable[[], None]]] = []
        self.sessions = SessionRegistry()  # the reference replica applies all entries at once
        self.purges = implementation.purges(self.sessions, self.settings.bounds)
        self.outcomes: list[Outcome] = []
        self.requested_us: dict[str, int] = {}  # by purge ID: when its customer first requested it
        self.requests: list[RequestPurge] = []
        self.receipts: dict[str, Receipt] = {}
        self.open_at: dict[int, tuple[NodeInstance, ...]] = {}  # front doors with a session, by position
        self.accepted_purges: list[tuple[int, RequestPurge, int]] = []  # position, body, when requested
        self.written_hits = self.refused_hits = 0
        self.proxies = [self.start(f"d{number}", 1) for number in range(proxy_count)]
        self.leader = self.proxies[0]
        self.make_leader(self.leader)

    # --- front doors ---

    def start(self, name: str, number: int) -> SimulatedProxy:
        sessions, session = SessionRegistry(), HolderSession()
        purges = self.implementation.purges(sessions, self.settings.bounds)
        door = self.implementation.door(self.settings.readings, purges, session, 3)
        driver = PurgeDriver(
            purges,
            lambda position, since_us: AcknowledgementTracker(position, sessions, proxy, since_us, True),
        )
        proxy = SimulatedProxy(
            NodeInstance(name, number),
            self.random.randrange(1 << 30),
            self.random.choice(CLOCK_RATES),
            sessions,
            purges,
            session,
            door,
            driver,
        )
        return proxy

    def restart(self, index: int) -> None:
        previous = self.proxies[index]
        self.proxies[index] = self.start(previous.instance.name, previous.instance.number + 1)
        if previous is self.leader:
            self.make_leader(self.random.choice(self.proxies))

    def is_running(self, proxy: SimulatedProxy) -> bool:
        return proxy in self.proxies and self.now_us >= proxy.paused_until_us

    def make_leader(self, proxy: SimulatedProxy) -> None:
        """Change the leader. The previous one may still believe that it leads, and propose by its reports."""
        self.leader, self.ballot = proxy, self.ballot + 1
        self.append(leases.MACHINE, leases.encode(leases.BecomeManager(self.ballot)), proxy.instance)
        now_us = proxy.local_us(self.now_us)
        proxy.reports = {
            session.fencing_token: Report(0, 0, None, now_us) for session in self.sessions.active_sessions()
        }
        self.propose(
            proxy, proxy.driver.handle(now_us, LeaderChanged(proxy.instance.name, self.ballot, True))
        )

    # --- the log ---

    def append(self, machine: str, body: bytes, proposer: NodeInstance, entry_id: str = "") -> None:
        self.at_ms = max(self.at_ms, 10**6 + self.now_us // 1000 + self.random.randrange(-50, 50))
        if self.random.random() < 0.01:  # a front door's clock is far off
            self.at_ms += 5_000
        position = len(self.entries) + 1
        entry = Entry(position, machine, entry_id or f"e{position}", proposer, self.at_ms, body)
        previous_tokens = {session.fencing_token for session in self.sessions.active_sessions()}
        outcome = (self.sessions if machine == leases.MACHINE else self.purges).apply(entry)
        self.entries.append(entry)
        self.outcomes.append(outcome)
        if machine == MACHINE:
            self.open_at[position] = tuple(
                sorted(session.instance for session in self.sessions.active_sessions())
            )
            self.check_purges(entry, outcome)
        # A leader counts a session as renewed when it is opened.
        for session in self.sessions.active_sessions():
            if session.fencing_token not in previous_tokens:
                self.leader.reports[session.fencing_token] = Report(
                    0, 0, None, self.leader.local_us(self.now_us)
                )

    def check_purges(self, entry: Entry, outcome: Outcome) -> None:
        """No receipt of the reference replica changes or is withdrawn."""
        for request in self.requests:
            purge = self.purges.find(request.id)
            if isinstance(purge, CompletedPurge):
                receipt = self.purges.receipt(purge)
                if self.receipts.setdefault(request.id, receipt) != receipt or not is_intact(receipt):
                    raise InvariantError(f"a different receipt of {request.id}")
                if (
                    tuple(clearance.instance for clearance in receipt.doors)
                    != self.open_at[receipt.requested_position]
                ):
                    raise InvariantError("a receipt lacks a front door")
            elif isinstance(purge, RequestedPurge):
                if request.id in self.receipts:
                    raise InvariantError(f"pending after its receipt: {request.id}")
                if purge.position == entry.position:
                    self.accepted_purges.append((entry.position, request, self.requested_us[request.id]))

    def propose(self, proxy: SimulatedProxy, proposals: Sequence[Propose]) -> None:
        for proposal in proposals:
            for _ in range(self.random.choice((0, 1, 1, 1, 2))):
                self.send(partial(self.append, MACHINE, proposal.body, proxy.instance), 400)

    def propose_without_proof(self, proxy: SimulatedProxy) -> None:
        """A driver that does not wait for a proof; it names only sessions that have reported."""
        position = self.random.randrange(len(self.entries)) + 1
        cleared_tokens = tuple(
            token for token, report in self.leader.reports.items() if report.clear_position >= position
        )
        self.append(MACHINE, encode(CompletePurges(position, cleared_tokens)), self.leader.instance)

    def send(self, action: Callable[[], None], max_delay_ms: int = 300) -> None:
        if self.random.random() < 0.9:
            self.messages.append((self.now_us + self.random.randrange(max_delay_ms) * 1000, action))

    def deliver(self) -> None:
        due = [message for message in self.messages if message[0] <= self.now_us]
        self.messages = [message for message in self.messages if message[0] > self.now_us]
        for _, action in sorted(due, key=lambda message: message[0]):
            action()

    def apply_entries(self, proxy: SimulatedProxy, limit: int) -> None:
        if self.now_us < proxy.lagging_until_us:
            return
        for entry in self.entries[proxy.position : proxy.position + limit]:
            machine = proxy.sessions if entry.machine == leases.MACHINE else proxy.purges
            outcome = machine.apply(entry)
            if outcome != self.outcomes[entry.position - 1]:
                raise InvariantError("a different outcome of the same entry")
            proxy.position = entry.position
            now_us, event = proxy.local_us(self.now_us), Applied(entry, outcome)
            proxy.door.handle(now_us, event)
            self.propose(proxy, proxy.driver.handle(now_us, event))
            proxy.session.update(proxy.sessions, proxy.instance, entry.id)

    def apply_some_entries(self, proxy: SimulatedProxy) -> None:
        self.apply_entries(proxy, self.random.choice((1, 2, 5)))

    def lag(self, proxy: SimulatedProxy) -> None:
        proxy.lagging_until_us = self.now_us + self.random.choice((SECOND_US // 2, 2 * SECOND_US))

    def announce_position(self, proxy: SimulatedProxy) -> None:
        """Another front door reports how far the log is settled, which is at most how far it is."""
        proxy.door.handle(
            proxy.local_us(self.now_us), LogAdvanced(self.random.randrange(len(self.entries) + 1))
        )

    def restore(self, proxy: SimulatedProxy) -> None:
        """Restore a snapshot of all settled entries in place of the replica's state."""
        if proxy.position == len(self.entries):
            return
        if proxy.position < self.purges.past.floor:
            proxy.discarded_at_position = len(self.entries)
        proxy.sessions.restore(self.sessions.snapshot())
        proxy.purges.restore(self.purges.snapshot())
        proxy.position = len(self.entries)
        proxy.door.handle(proxy.local_us(self.now_us), Restored(proxy.position))
        proxy.driver.handle(proxy.local_us(self.now_us), Restored(proxy.position))
        proxy.session.update(proxy.sessions, proxy.instance, "")
        if proxy.purges.snapshot() != self.purges.snapshot():
            raise InvariantError("a restored snapshot differs from its source")

    # --- sessions ---

    def renew(self, proxy: SimulatedProxy) -> None:
        now_us, session = proxy.local_us(self.now_us), proxy.session
        active = proxy.sessions.active_session(proxy.instance.name)
        if active and active.instance == proxy.instance:
            token, clear_position = active.fencing_token, proxy.door.clear_position
            self.check_clear_position(proxy)
            applied_position = proxy.position
            self.send(lambda: self.receive_renewal(proxy, now_us, token, applied_position, clear_position))
        elif not session.has_left:
            name = f"open.{proxy.instance.name}.{proxy.instance.number}.{self.now_us}"
            session.open_proposal = name, now_us
            body = leases.encode(leases.OpenSession(proxy.instance))
            self.send(lambda: self.append(leases.MACHINE, body, proxy.instance, name))

    def receive_renewal(
        self, proxy: SimulatedProxy, sent_us: int, token: int, applied_position: int, clear_position: int
    ) -> None:
        """At the leader, which counts as one as long as it answers."""
        report = self.leader.reports.get(token)
        active = self.sessions.active_session(proxy.instance.name)
        if (
            not self.is_running(self.leader)
            or report is None
            or active is None
            or active.fencing_token != token
        ):
            return
        now_us = self.leader.local_us(self.now_us)
        report.since_us, report.received_at_us = now_us, now_us
        report.applied_position, report.clear_position = (
            max(report.applied_position, applied_position),
            max(report.clear_position, clear_position),
        )
        self.send(lambda: self.receive_grant(proxy, sent_us, token))

    def receive_grant(self, proxy: SimulatedProxy, sent_us: int, token: int) -> None:
        if self.is_running(proxy) and proxy.session.fencing_token == token and not proxy.session.has_left:
            proxy.session.valid_until_us = max(
                proxy.session.valid_until_us, sent_us + TERMS.holder_duration_us
            )

    def end_expired_sessions(self) -> None:
        if not self.is_running(self.leader):
            return
        now_us = self.leader.local_us(self.now_us)
        for session in self.sessions.active_sessions():
            report = self.leader.reports.get(session.fencing_token)
            if report and now_us > report.since_us + TERMS.expiry_us:
                body = leases.encode(leases.EndSession(session.instance, session.fencing_token, self.ballot))
                self.append(leases.MACHINE, body, self.leader.instance)

    def leave(self, proxy: SimulatedProxy) -> None:
        proxy.session.has_left, proxy.session.valid_until_us = True, 0
        active = proxy.sessions.active_session(proxy.instance.name)
        if active and active.instance == proxy.instance:
            body = leases.encode(leases.CloseSession(proxy.instance, active.fencing_token))
            self.send(lambda: self.append(leases.MACHINE, body, proxy.instance))

    # --- requests ---

    def fetch(self, proxy: SimulatedProxy) -> None:
        member, class_name = self.random.choice(MEMBERS), self.random.choice(CLASSES)
        request = b"%d" % self.random.randrange(4)
        ticket = proxy.door.begin_fill(proxy.local_us(self.now_us), member, class_name, request)
        if ticket and len(proxy.fetches) < 6:
            proxy.fetches.append((ticket, [self.now_us] if self.random.random() < 0.5 else []))

    def read_at_server(self, proxy: SimulatedProxy) -> None:
        for _, read_us in proxy.fetches:
            if not read_us:
                read_us.append(self.now_us)

    def receive_answer(self, proxy: SimulatedProxy) -> None:
        """Any of the answers that have left the server arrives; it may have been under way for long."""
        ready = [fetch for fetch in proxy.fetches if fetch[1]]
        if not ready:
            return
        ticket, read_us = self.random.choice(ready)
        proxy.fetches.remove((ticket, read_us))
        evictions = proxy.door.store.evictions
        if (
            proxy.door.finish_fill(proxy.local_us(self.now_us), ticket, b"%d" % read_us[0])
            is FillResult.STORED
        ):
            count = proxy.stored_counts[ticket.member] = proxy.stored_counts.get(ticket.member, 0) + 1
            if proxy.door.store.evictions > evictions:  # the member's own readings, and no other's
                proxy.eviction_counts[ticket.member] = count
            proxy.stored.append((ticket, count))

    def take_hit(self, proxy: SimulatedProxy) -> None:
        readings = [reading for member in MEMBERS for reading in proxy.door.store.readings_of(member)]
        if not readings or len(proxy.hits) > 3:
            return
        wanted = self.random.choice(readings)
        hit = proxy.door.lookup(proxy.local_us(self.now_us), wanted.member, wanted.class_name, wanted.request)
        if hit is None:
            return
        proxy.hits.append((hit, wanted.member, wanted.class_name))
        choice = self.random.random()
        if choice < 0.5:
            self.write_hit(proxy)
        elif choice < 0.75:  # paused right here; it writes as soon as it runs again
            self.pause(proxy)
            self.messages.append((proxy.paused_until_us, lambda: self.write_hit(proxy)))

    def pause(self, proxy: SimulatedProxy) -> None:
        proxy.paused_until_us = self.now_us + self.random.choice(
            (SECOND_US // 2, 2 * SECOND_US, 3 * SECOND_US)
        )

    def write_hit(self, proxy: SimulatedProxy) -> None:
        if not proxy.hits or not self.is_running(proxy):
            return
        hit, member, class_name = proxy.hits.pop()
        if not hit.is_usable(proxy.local_us(self.now_us)):
            self.refused_hits += 1
            return
        self.written_hits += 1
        read_us = int(hit.value)
        for _, request, requested_us in self.accepted_purges:
            is_covered = request.member == member and request.class_name in ("", class_name)
            if is_covered and request.id in self.receipts and read_us < requested_us:
                raise InvariantError(f"shown after the receipt: read at {read_us}, purged at {requested_us}")

    # --- customers ---

    def request_purge(self, proxy: SimulatedProxy) -> None:
        if self.requests and self.random.random() < 0.2:
            request = self.random.choice(self.requests)  # a repeat, of any age
        else:
            request = RequestPurge(
                draw_id(proxy.position, self.random.random),
                self.random.choice(MEMBERS),
                self.random.choice(("", "", *CLASSES)),
            )
            self.requested_us[request.id] = self.now_us
            self.requests.append(request)
        self.send(lambda: self.append(MACHINE, encode(request), proxy.instance))

    # --- invariants ---

    def check_clear_position(self, proxy: SimulatedProxy) -> None:
        """A front door stores nothing that entries up to its clear position invalidate."""
        clear_position = proxy.door.clear_position
        if clear_position > proxy.position:
            raise InvariantError("the clear position is above the applied position")
        for position, request, _ in self.accepted_purges:
            if position <= clear_position:
                for reading in proxy.door.store.readings_of(request.member):
                    if reading.applied_position < position and request.class_name in ("", reading.class_name):
                        raise InvariantError("a purged reading is stored up to the clear position")

    def check(self, proxy: SimulatedProxy) -> None:
        for request in self.requests:
            purge = proxy.purges.find(request.id)
            if isinstance(purge, CompletedPurge):
                status = purge_status(proxy.purges, proxy.position, request.id)
                if status != self.receipts.get(request.id):
                    raise InvariantError("a receipt differs between front doors")
        if proxy.discarded_at_position or proxy.door.applied_position < proxy.position:
            return
        for ticket, count in proxy.stored:
            is_expired = (
                proxy.local_us(self.now_us) - ticket.sent_us
                >= self.settings.readings.ages_us[ticket.class_name]
            )
            is_purged = any(
                position > ticket.applied_position
                and request.member == ticket.member
                and request.class_name in ("", ticket.class_name)
                for position, request, _ in self.accepted_purges
            )
            keys = [reading.key for reading in proxy.door.store.readings_of(ticket.member)]
            may_be_evicted = proxy.eviction_counts.get(ticket.member, 0) > count
            if (
                not (is_expired or is_purged or may_be_evicted)
                and (ticket.class_name, ticket.request) not in keys
            ):
                raise InvariantError("a reading was lost without a purge")

    # --- histories ---

    def tick(self, proxy: SimulatedProxy) -> None:
        proxy.door.handle(proxy.local_us(self.now_us), Tick())
        self.propose(proxy, proxy.driver.handle(proxy.local_us(self.now_us), Tick()))

    def step(self) -> None:
        """Time passes, and a random action happens at one front door; another one may do its regular work."""
        self.now_us += self.random.choice((0, 1000, 20_000, 40_000, 80_000))
        self.deliver()
        regular = self.random.choice(self.proxies)
        if self.is_running(regular) and self.random.random() < 0.6:
            self.apply_entries(regular, 99)
            self.renew(regular)
        index = self.random.randrange(len(self.proxies))
        proxy = self.proxies[index]
        choice = self.random.random()
        if not self.is_running(proxy):
            if choice < 0.01:
                self.restart(index)
            return
        for threshold, action in (
            (0.20, self.fetch),
            (0.25, self.read_at_server),
            (0.41, self.receive_answer),
            (0.57, self.take_hit),
            (0.61, self.write_hit),
            (0.67, self.apply_some_entries),
            (0.71, self.restore),
            (0.76, self.tick),
            (0.82, self.renew),
            (0.87, self.request_purge),
            (0.90, self.pause),
            (0.91, self.leave),
            (0.93, self.make_leader),
            (0.94, self.announce_position),
            (0.95, self.propose_without_proof),
            (0.97, self.lag),
            (0.985, self.check),
        ):
            if choice < threshold:
                action(proxy)
                break
        else:
            self.restart(index)
        self.end_expired_sessions()

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
        for proxy in self.proxies:
            self.check(proxy)

    def run_without_faults(self) -> None:
        """After a time without faults all requested purges are complete."""
        for index, proxy in enumerate(self.proxies):
            if proxy.session.has_left or self.random.random() < 0.2:
                self.restart(index)
        for proxy in self.proxies:
            proxy.paused_until_us = proxy.lagging_until_us = 0
        for _ in range(300):
            self.now_us += 60_000
            self.deliver()
            for proxy in self.proxies:
                self.apply_entries(proxy, 99)
                self.tick(proxy)
                self.renew(proxy)
            self.end_expired_sessions()
            if not self.purges.oldest_pending(1):
                break
        if self.purges.oldest_pending(1):
            raise InvariantError("a purge never completes")
        for proxy in self.proxies:
            self.apply_entries(proxy, 99)
            self.check(proxy)
            if proxy.purges.snapshot() != self.purges.snapshot():
                raise InvariantError("a different state at the same position")
