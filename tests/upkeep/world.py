"""A simulated world: one reference log, front doors that lag, fail and pause, and servers that record
requests.

Time advances in steps. Sessions are granted and expire as `leases` promises: a holder's own end comes before
the expiry. All randomness depends on the seed. A violated invariant raises `InvariantViolatedError` in the
step in which it is violated.
"""

import random
from collections.abc import Callable

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    Entry,
    LeaderChanged,
    Outcome,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.bodies import EndSession as SessionEnded
from molereach.coordination.leases.bodies import OpenSession
from molereach.coordination.leases.bodies import encode as encode_session
from molereach.coordination.leases.sessions import EndedSession
from molereach.upkeep.driver import Driver
from molereach.upkeep.permits.bodies import GrantPermit, SessionClearance, TakeStep, decode, encode
from molereach.upkeep.permits.clearance_accounting import ClearanceAccounting
from molereach.upkeep.permits.fact_reporting import FactsMeasured
from molereach.upkeep.permits.lifecycle import ABSENT_STATES, DRAINING_STATES, UNROUTABLE_STATES, State, Step
from molereach.upkeep.permits.proof import sessions_to_clear
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.routing import RequestFinished, RequestStarted
from molereach.upkeep.rules.fleet_facts import FleetFacts
from tests.upkeep.builders import NOON_MS, server
from tests.upkeep.state_machine_log import ProofSessions
from tests.upkeep.world_parts import (
    REAL_COMPONENTS,
    SETTINGS,
    STEP_US,
    Components,
    InvariantViolatedError,
    SimulatedProxy,
    SimulatedServer,
    SimulatedSession,
)

TURN_US = SECOND_US // 100
TERMS = SessionTerms(15 * SECOND_US, 0.01)
PROXY_NAMES = ("a", "b", "c")
SERVER_NAMES = tuple(f"s{number}" for number in range(5))


class World:
    """Advances by `step`; `stop_faults` ends all faults."""

    def __init__(self, seed: int, components: Components = REAL_COMPONENTS) -> None:
        self.rng, self.components = random.Random(seed), components
        self.current_step = 1
        self.entries: list[Entry] = []
        self.outcomes: list[Outcome] = []
        self.positions_by_id: dict[str, int] = {}
        self.sessions = ProofSessions()
        self.reference = components.machine(components.settings, self.sessions)
        self.servers = {name: SimulatedServer() for name in SERVER_NAMES}
        self.proxies: dict[str, SimulatedProxy] = {}
        self.reported_positions: dict[int, int] = {}
        self.leader: SimulatedProxy | None = None
        self.deliveries: list[tuple[int, Callable[[], None]]] = []
        self.ballot = 0
        self.skip_expiry_wait = seed % 2 == 0  # drivers that don't wait for expired sessions
        self.permits: dict[int, str] = {}
        self.machine_never_returned = False  # at most one machine never returns
        self.requests_sent = self.drains_started = self.recalls = 0
        for name in PROXY_NAMES:
            self.start(name)
        self.elect(self.proxies["a"])

    # --- front doors ---

    def start(self, name: str) -> None:
        """Starts a new instance. The previous one is dead, and so are its requests."""
        previous = self.proxies.get(name)
        number = previous.instance.number + 1 if previous else 1
        sessions = ProofSessions()
        machine, session = self.components.machine(self.components.settings, sessions), SimulatedSession()
        clock_rate = self.rng.choice((0.996, 1.0, 1.004))
        proxy = SimulatedProxy(
            NodeInstance(name, number),
            clock_rate,
            sessions,
            machine,
            session,
            self.components.routing(machine, session),
            Driver(NodeInstance(name, number), machine, self),
        )
        if self.skip_expiry_wait:
            proxy.driver._accounting = ClearanceAccounting(sessions, self, 0)
        for each in self.servers.values():
            each.in_flight = [
                (until, proposer) for until, proposer in each.in_flight if proposer is not previous
            ]
        self.proxies[name] = proxy

    def clear_position(self, name: str, fencing_token: int) -> int:
        """The clear position that the driver reads; every leader knows the same ones."""
        return self.reported_positions.get(fencing_token, 0)

    def elect(self, proxy: SimulatedProxy) -> None:
        self.leader, self.ballot = proxy, self.ballot + 1
        for each in self.proxies.values():
            if each is proxy or self.rng.random() < 0.6:  # others still believe that they lead
                self.perform(
                    each,
                    each.driver.handle(
                        each.now_us(self.current_step),
                        LeaderChanged(proxy.instance.name, self.ballot, each is proxy),
                    ),
                )

    def perform(self, proxy: SimulatedProxy, actions: object) -> None:
        assert isinstance(actions, list | tuple)
        for action in actions:
            if isinstance(action, Propose):
                self.propose(proxy, action)

    def propose(self, proxy: SimulatedProxy, propose: Propose) -> None:
        draw = self.rng.random()
        if draw < 0.85 and self.current_step >= proxy.disconnected_until:
            check_entry = self.current_step + self.rng.choice((0, 0, 0, 1, 4))
            self.deliveries.append((check_entry, lambda: self.apply_proposal(proxy, propose)))
        else:
            unknown = ProposalFinished(propose.id, ProposalStatus.UNKNOWN)
            self.deliveries.append((self.current_step + 1, lambda: proxy.pending_outcomes.append(unknown)))

    def apply_proposal(self, proxy: SimulatedProxy, propose: Propose) -> None:
        if propose.id not in self.positions_by_id:
            self.positions_by_id[propose.id] = self.append(
                propose.machine, propose.body, proxy.instance, propose.id
            )
        position = self.positions_by_id[propose.id]
        proxy.pending_outcomes.append(
            ProposalFinished(propose.id, ProposalStatus.APPLIED, self.outcomes[position - 1], position)
        )

    # --- the log ---

    def append(self, machine: str, body: bytes, proposer: NodeInstance, id: str = "") -> int:
        position = len(self.entries) + 1
        entry = Entry(
            position,
            machine,
            id or f"w{position}",
            proposer,
            NOON_MS + self.current_step * STEP_US // 1000,
            body,
        )
        previous = {name: each.state for name, each in self.reference.registry.records.items()}
        outcome = (self.sessions if machine == "sessions" else self.reference).apply(entry)
        self.entries.append(entry)
        self.outcomes.append(outcome)
        if machine == "upkeep" and not outcome.error:
            self.check_entry(entry, previous)
        return position

    def check_entry(self, entry: Entry, previous: dict[str, State]) -> None:
        body = decode(entry.body)
        if not isinstance(body, TakeStep | GrantPermit):
            return
        record = self.reference.registry.get(body.id)
        assert record is not None
        if isinstance(body, GrantPermit):
            self.check_permit(entry, record)
        elif body.step is Step.DRAIN:
            self.drains_started += 1
            self.check_rules(entry, record)
        self.recalls += isinstance(body, TakeStep) and body.step is Step.RECALL

    def check_permit(self, entry: Entry, record: ItemRecord) -> None:
        if record.permit in self.permits:
            raise InvariantViolatedError(f"permit {record.permit} is granted twice")
        self.permits[record.permit] = record.work.id
        self.check_rules(entry, record)
        machine = self.servers[record.work.machine]
        if any(until > self.current_step for until, _ in machine.in_flight):
            raise InvariantViolatedError(
                f"{record.work.machine} gets a permit at {entry.position} with requests in flight"
            )
        machine.ready = False
        draw = self.rng.random()
        never_returns = (
            draw < 0.1 and self.current_step < self.faults_until and not self.machine_never_returned
        )
        self.machine_never_returned |= never_returns
        machine.ready_at = 0 if never_returns else self.current_step + self.rng.randrange(2, 20)

    def check_rules(self, entry: Entry, record: ItemRecord) -> None:
        """Checks the rules by separate counts over the stored state."""
        registry, settings = self.reference.registry, self.components.settings
        if entry.at_ms - registry.fleet.facts.at_ms > SETTINGS.fresh_ms:
            raise InvariantViolatedError(
                f"facts of {entry.at_ms - registry.fleet.facts.at_ms} ms were used at {entry.position}"
            )
        away = [each for each in registry.records.values() if each.state in UNROUTABLE_STATES - {State.LOST}]
        occupied = away + [each for each in registry.records.values() if each.state is State.WARMING]
        if len(occupied) > settings.most_out:
            raise InvariantViolatedError(f"{len(occupied)} machines are in maintenance at {entry.position}")
        unroutable = {
            each.work.machine for each in registry.records.values() if each.state in UNROUTABLE_STATES
        }
        remaining = [
            each for each in registry.fleet.facts.servers if each.ready and each.name not in unroutable
        ]
        was_ready = any(
            each.ready and each.name == record.work.machine for each in registry.fleet.facts.servers
        )
        if was_ready and len(remaining) < settings.least_ready_cell:
            raise InvariantViolatedError(f"{len(remaining)} servers remain at {entry.position}")
        for each in away:
            if set(each.work.not_with) & {other.work.machine for other in away}:
                raise InvariantViolatedError(
                    f"{each.work.machine} is unavailable beside an excluded machine at {entry.position}"
                )

    # --- steps ---

    def step(self) -> None:
        self.current_step += 1
        due = [deliver for at, deliver in self.deliveries if at <= self.current_step]
        self.deliveries = [(at, deliver) for at, deliver in self.deliveries if at > self.current_step]
        for deliver in due:
            deliver()
        self.advance_servers()
        for name in self.rng.sample(PROXY_NAMES, len(PROXY_NAMES)):
            proxy = self.proxies[name]
            if self.current_step >= proxy.paused_until:
                self.run_turn(proxy)
        self.expire_sessions()
        away = [
            proxy
            for proxy in self.proxies.values()
            if self.current_step < max(proxy.paused_until, proxy.disconnected_until)
        ]
        if self.leader in away and len(away) < len(PROXY_NAMES) and self.rng.random() < 0.4:
            self.elect(next(proxy for proxy in self.proxies.values() if proxy not in away))

    def run_turn(self, proxy: SimulatedProxy) -> None:
        """One turn of a front door, in one of the orders that are possible after a pause."""
        parts = [self.send, self.apply_entries, self.renew_session, self.run_driver]
        if self.rng.random() < 0.5:
            parts = [self.apply_entries, self.send, self.run_driver, self.renew_session]
        for part in parts:
            part(proxy)

    def send(self, proxy: SimulatedProxy) -> None:
        now_us = proxy.now_us(self.current_step)
        for name in self.rng.sample(SERVER_NAMES, 3):
            if proxy.routing.may_send(now_us, name):
                self.receive_request(proxy, name)

    def receive_request(self, proxy: SimulatedProxy, name: str) -> None:
        machine = self.servers[name]
        permitted = next(
            (
                each
                for each in self.reference.registry.records.values()
                if each.work.machine == name and each.state in ABSENT_STATES
            ),
            None,
        )
        if permitted is not None:
            raise InvariantViolatedError(
                f"{proxy.instance} sent to {name}, permit {permitted.permit}, at step {self.current_step}"
            )
        self.requests_sent += 1
        proxy.routing.handle(proxy.now_us(self.current_step), RequestStarted(name))
        machine.in_flight.append((self.current_step + self.rng.choice((0, 1, 2, 3)), proxy))

    def apply_entries(self, proxy: SimulatedProxy) -> None:
        if self.current_step < proxy.disconnected_until:
            return
        lag = self.rng.choice((0, 0, 0, 1, 6)) if self.current_step < self.faults_until else 0
        last, now_us = max(proxy.learned_position, len(self.entries) - lag), proxy.now_us(self.current_step)
        if last - proxy.learned_position > 20 and last == len(self.entries):
            proxy.sessions.restore(self.sessions.snapshot())
            proxy.machine.restore(self.reference.snapshot())
            proxy.learned_position = last
            proxy.routing.handle(now_us, Restored(last))
            self.perform(proxy, proxy.driver.handle(now_us, Restored(last)))
        for entry, outcome in zip(
            self.entries[proxy.learned_position : last],
            self.outcomes[proxy.learned_position : last],
            strict=True,
        ):
            found = (proxy.sessions if entry.machine == "sessions" else proxy.machine).apply(entry)
            if found != outcome:
                raise InvariantViolatedError(f"outcome at {entry.position} is {found} instead of {outcome}")
            proxy.learned_position = entry.position
            proxy.routing.handle(now_us, Applied(entry, outcome))
            self.perform(proxy, proxy.driver.handle(now_us, Applied(entry, outcome)))

    def renew_session(self, proxy: SimulatedProxy) -> None:
        """Opens a session, or renews it and reports the clear position."""
        if self.current_step < proxy.disconnected_until:
            return
        actual, applied = (
            self.sessions.active_session(proxy.instance.name),
            proxy.sessions.active_session(proxy.instance.name),
        )
        if actual is None or actual.instance != proxy.instance:
            if self.rng.random() < 0.5:
                self.append("sessions", encode_session(OpenSession(proxy.instance)), proxy.instance)
                proxy.renewed_at_us = self.current_step * STEP_US
        elif applied == actual:
            clear_position = proxy.routing.clear_position
            previous = self.reported_positions.get(actual.fencing_token, 0)
            if clear_position < previous:
                raise InvariantViolatedError(
                    f"{proxy.instance} reports clear position {clear_position} after {previous}"
                )
            self.reported_positions[actual.fencing_token], proxy.renewed_at_us = (
                clear_position,
                self.current_step * STEP_US,
            )
            proxy.session.fencing_token = actual.fencing_token
            proxy.session.until_us = proxy.now_us(self.current_step) + int(TERMS.holder_duration_us * 0.99)

    def expire_sessions(self) -> None:
        for name, proxy in self.proxies.items():
            active = self.sessions.active_session(name)
            renewed_at_us = proxy.renewed_at_us if active and active.instance == proxy.instance else 0
            if active and self.current_step * STEP_US - renewed_at_us > int(TERMS.expiry_us * 1.02):
                end = SessionEnded(active.instance, active.fencing_token, 0)
                self.append("sessions", encode_session(end), proxy.instance)

    def run_driver(self, proxy: SimulatedProxy) -> None:
        now_us = proxy.now_us(self.current_step)
        finished_proposals, proxy.pending_outcomes = proxy.pending_outcomes, []
        for finished in finished_proposals:
            if finished.position <= proxy.learned_position:
                self.perform(proxy, proxy.driver.handle(now_us, finished))
            else:
                proxy.pending_outcomes.append(finished)
        # Sometimes it has only an earlier measurement.
        if self.rng.random() < 0.8 or self.current_step >= self.faults_until:
            self.perform(proxy, proxy.driver.handle(now_us, FactsMeasured(self.facts())))
        for number in range(4):  # a plan takes several turns within a step
            if now_us + number * TURN_US >= proxy.driver.wake_us:
                self.perform(proxy, proxy.driver.handle(now_us + number * TURN_US, Tick()))

    # --- servers ---

    faults_until = 1 << 30  # the step at which faults end

    def facts(self) -> FleetFacts:
        return FleetFacts(
            servers=tuple(
                server(name, ready=each.ready, warmth=each.warmth, load=100)
                for name, each in self.servers.items()
            )
        )

    def advance_servers(self) -> None:
        for name, each in self.servers.items():
            for until, proxy in list(each.in_flight):
                # A paused front door learns of the end only when it resumes; the server has finished before.
                if until <= self.current_step and self.current_step >= proxy.paused_until:
                    each.in_flight.remove((until, proxy))
                    proxy.routing.handle(proxy.now_us(self.current_step), RequestFinished(name))
            if each.ready_at and each.ready_at <= self.current_step:
                each.ready, each.warmth, each.ready_at = True, 0, 0
            each.warmth = min(1000, each.warmth + 100) if each.ready else 0

    # --- faults ---

    def inject_fault(self) -> None:
        proxy = self.proxies[self.rng.choice(PROXY_NAMES)]
        match self.rng.randrange(24):
            case 0:
                self.elect(proxy)
            case 1 | 2:
                proxy.paused_until = self.current_step + self.rng.randrange(1, 30)
                proxy.disconnected_until = proxy.paused_until + self.rng.choice((0, 0, 10))
            case 3 | 4:
                proxy.disconnected_until = self.current_step + self.rng.randrange(1, 40)
            case 5:
                self.start(proxy.instance.name)
            case 6:
                self.lose_servers(1)
            case 7 | 8 if any(
                each.state in DRAINING_STATES for each in self.reference.registry.records.values()
            ):
                self.lose_servers(3)
            case 10 | 11 | 12 | 13 | 14:
                self.propose_invalid(proxy)
            case 9:
                ids = [id for id in self.reference.registry.records]
                if ids:
                    self.append(
                        "upkeep", encode(TakeStep(self.rng.choice(ids), Step.WITHDRAW)), proxy.instance
                    )

    def propose_invalid(self, proxy: SimulatedProxy) -> None:
        """Proposes as a faulty driver: any step, or a permit with a proof that is true but may be
        incomplete."""
        records = list(self.reference.registry.records.values())
        if not records:
            return
        record = self.rng.choice(records)
        if self.rng.random() < 0.3:
            step = self.rng.choice([step for step in Step if step not in (Step.GRANT_PERMIT, Step.RETURN)])
            self.append("upkeep", encode(TakeStep(record.work.id, step, record.begun)), proxy.instance)
        else:
            clearances = tuple(
                SessionClearance(each.fencing_token, each.evidence, each.position)
                if isinstance(each, EndedSession)
                else SessionClearance(
                    each.fencing_token,
                    ClearanceEvidence.REPORTED,
                    self.reported_positions.get(each.fencing_token, 0),
                )
                for each in sessions_to_clear(self.sessions, record.begun)
            )
            if record.state is State.DRAINING:
                self.append(
                    "upkeep",
                    encode(TakeStep(record.work.id, Step.CONFIRM_DRAINED, record.begun)),
                    proxy.instance,
                )
            self.append(
                "upkeep", encode(GrantPermit(record.work.id, record.begun, clearances)), proxy.instance
            )

    def lose_servers(self, count: int) -> None:
        """Servers fail without maintenance."""
        for name in self.rng.sample(SERVER_NAMES, count):
            each = self.servers[name]
            if each.ready:
                each.ready, each.ready_at = False, self.current_step + self.rng.randrange(3, 30)

    def stop_faults(self) -> None:
        self.faults_until = self.current_step
        for proxy in self.proxies.values():
            proxy.paused_until = proxy.disconnected_until = 0
        for each in self.servers.values():
            if not each.ready:
                each.ready_at = each.ready_at or self.current_step + 1
        self.elect(self.proxies["b"])

    @property
    def finished(self) -> bool:
        """Whether all items are finished, except those whose machines are lost and never returned."""
        return all(
            each.state is State.LOST and not self.servers[each.work.machine].ready
            for each in self.reference.registry.records.values()
        )
