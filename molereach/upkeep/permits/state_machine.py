"""The state machine "upkeep": which servers and front doors may be taken out of service, and by which permit.

Both are called machines here. The decisions depend only on entries, their times, and the state of the
sessions at the same position. A proposer may be wrong, late, duplicated or dead, so each entry is checked:
its transition, its guard and, if it grants a permit, the proof that no proxy sends to the machine any more.
"""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from molereach.coordination.interface.log import Entry, Outcome
from molereach.upkeep.permits import snapshots
from molereach.upkeep.permits.bodies import (
    MACHINE,
    GrantPermit,
    ReportFacts,
    ReportReturn,
    RequestMaintenance,
    SessionClearance,
    SetFallbackServers,
    TakeStep,
    decode,
)
from molereach.upkeep.permits.fact_parts import add_part
from molereach.upkeep.permits.guards import GUARDS
from molereach.upkeep.permits.lifecycle import DRAIN_BOUND_STEPS, TRANSITIONS, UNROUTABLE_STATES, State, Step
from molereach.upkeep.permits.proof import SessionHistory, proof_gap
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.registry import MAX_FORMER_FALLBACK_SERVERS, WorkRegistry
from molereach.upkeep.permits.time_marks import add_mark, wait_elapsed
from molereach.upkeep.requests.validation import MAX_OPEN_ITEMS, check_request
from molereach.upkeep.rules.evaluation import RULES
from molereach.upkeep.rules.fleet_facts import groups_of
from molereach.upkeep.rules.scene import Rule
from molereach.upkeep.rules.settings import UpkeepSettings

replace = msgspec.structs.replace


class EntryRejectedError(ValueError):
    """Rejects an entry, which then changes nothing; the message is one line."""


class UpkeepStateMachine:
    """Implements `StateMachine`. `sessions` is the state machine "sessions" of the same log, which has
    applied the entries up to the same position."""

    name = MACHINE

    def __init__(
        self, settings: UpkeepSettings, sessions: SessionHistory, rules: tuple[Rule, ...] = RULES
    ) -> None:
        self.settings, self.sessions = settings, sessions
        self.registry = WorkRegistry(settings, rules)

    def apply(self, entry: Entry) -> Outcome:
        """Applies an entry. The outcome is the item's record, or the reason why the entry was rejected."""
        try:
            body = decode(entry.body)
            record = _HANDLERS[type(body)](self, entry, body)
        except ValueError as error:
            return Outcome(str(error))
        self.registry.time_marks = add_mark(
            self.registry.time_marks, entry.position, entry.at_ms, self.settings.expired_session_wait_ms
        )
        return Outcome(value=msgspec.json.encode(record) if record else b"")

    # --- entries ---

    def _request_maintenance(self, entry: Entry, body: RequestMaintenance) -> ItemRecord:
        registry, work = self.registry, body.work
        reason = check_request(
            work, registry.open_items(), registry.known_items(), registry.fleet.kinds, entry.at_ms
        )
        if reason:
            raise EntryRejectedError(str(reason))
        if (existing := registry.get(work.id)) is not None:
            return existing
        # Lost items count too, until their machines are no longer listed.
        if len(registry.records) >= MAX_OPEN_ITEMS:
            raise EntryRejectedError(f"id: more than {MAX_OPEN_ITEMS} works are open")
        return registry.put(ItemRecord(work, entry.proposer, entry.position, State.REQUESTED, entry.at_ms))

    def _report_facts(self, entry: Entry, body: ReportFacts) -> None:
        partial = add_part(self.registry.partial_facts, body, entry.proposer, entry.at_ms)
        if partial.facts.at_ms < self.registry.fleet.facts.at_ms:
            raise EntryRejectedError("later facts are known")
        complete = partial.next == partial.parts
        self.registry.partial_facts = None if complete else partial
        if complete:
            self.registry.update_facts(partial.facts, entry.at_ms)

    def _set_fallback_servers(self, entry: Entry, body: SetFallbackServers) -> None:
        registry, new_servers = self.registry, frozenset(body.servers)
        unroutable = {
            name
            for each in registry.records.values()
            if each.state in UNROUTABLE_STATES
            for name in each.names
        }
        if invalid := sorted(
            name for name in new_servers if name not in registry.fleet.servers or name in unroutable
        ):
            raise EntryRejectedError(f"servers: {invalid[0]} cannot stand")
        former = self._needed_former_servers(
            {
                **registry.former_fallback_servers,
                **dict.fromkeys(registry.fallback_servers - new_servers, entry.position),
            }
        )
        if len(former) > MAX_FORMER_FALLBACK_SERVERS:
            raise EntryRejectedError("servers: too many have changed")
        registry.fallback_servers, registry.former_fallback_servers = (
            new_servers,
            {name: former[name] for name in former if name not in new_servers},
        )

    def _needed_former_servers(self, former: dict[str, int]) -> dict[str, int]:
        """The former fallback servers on which a proxy may still rely.

        A proxy without a session uses the fallback servers that it last knew while it had one. A server that
        ceased to be one at a position before the start of every remaining session (those that are open, and
        expired ones whose proxy may still serve) is not among them. A session's fencing token is the log
        position at which it started. If no session remains, all servers are kept.
        """
        tokens = [each.fencing_token for each in self.sessions.active_sessions()]
        tokens += [each.fencing_token for each in self.sessions.expired_sessions()]
        return {name: position for name, position in former.items() if position >= min(tokens, default=0)}

    def _take_step(self, entry: Entry, body: TakeStep) -> ItemRecord:
        if body.step in (Step.GRANT_PERMIT, Step.RETURN):
            raise EntryRejectedError(f"step: {body.step.value} has an entry of its own")
        record = self._find_record(body.id)
        record = self._advance(entry, record, body.step, body.begun)
        match body.step:
            case Step.DRAIN:
                return self._start_draining(entry, record)
            case Step.RECALL:
                record = replace(record, begun=0, begun_ms=0)
            case Step.EXPEDITE:
                record = replace(record, hurried=True)
            case Step.WITHDRAW:
                record = replace(record, hurried=True, why="withdrawn")
            case Step.EXPIRE:
                record = replace(record, why="its window closed")
        return self.registry.put(record)

    def _start_draining(self, entry: Entry, record: ItemRecord) -> ItemRecord:
        machine = self.registry.fleet.get(record.work.machine)
        assert machine is not None  # `check_orders`, in the guard of DRAIN, blocks unlisted machines
        (_, cell), (_, zone) = groups_of(machine)
        record = replace(
            record, begun=entry.position, begun_ms=entry.at_ms, cell=cell, zone=zone, address=machine.address
        )
        self.registry.put(record)
        self.registry.count_overtaken(record, entry.at_ms)
        return record

    def _grant_permit(self, entry: Entry, body: GrantPermit) -> ItemRecord:
        record = self._advance(entry, self._find_record(body.id), Step.GRANT_PERMIT, body.begun)
        if reason := self.proof_gap(record, body.proof, entry.at_ms):
            raise EntryRejectedError(f"proof: {reason}")
        self.registry.last_permit = self.next_permit()
        until_ms = entry.at_ms + record.work.duration_ms
        return self.registry.put(
            replace(record, permit=self.registry.last_permit, until_ms=until_ms, gone=False)
        )

    def _report_return(self, entry: Entry, body: ReportReturn) -> ItemRecord:
        record = self._find_record(body.id)
        if record.permit != body.permit:
            raise EntryRejectedError(f"permit: {body.id} has {record.permit or 'none'}")
        if body.name not in self.registry.return_names(record):
            raise EntryRejectedError(f"name: {body.name} is neither {record.work.machine} nor its successor")
        record = self._advance(entry, record, Step.RETURN, record.begun)
        return self.registry.put(replace(record, name=body.name))

    # --- conditions of the steps ---

    def _find_record(self, id: str) -> ItemRecord:
        record = self.registry.get(id)
        if record is None:
            raise EntryRejectedError(f"id: no work {id}")
        return record

    def _advance(self, entry: Entry, record: ItemRecord, step: Step, begun: int) -> ItemRecord:
        """The record after a step, not yet stored.

        `begun` is the position of the entry that started the draining for which the step was proposed. After
        a recall, a step that was proposed for the earlier draining is rejected.
        """
        state = self.next_state(record, step)
        if state is None:
            raise EntryRejectedError(f"step: {record.work.id} is {record.state.value}")
        if step in DRAIN_BOUND_STEPS and begun != record.begun:
            raise EntryRejectedError(f"begun: {record.work.id} drains by {record.begun}")
        guard = GUARDS.get(step)
        if guard and (reason := guard(self.registry, record, entry.at_ms)):
            raise EntryRejectedError(reason)
        since_ms = record.since_ms if state is record.state else entry.at_ms
        return replace(record, state=state, since_ms=since_ms)

    def next_state(self, record: ItemRecord, step: Step) -> State | None:
        """The state after a step; None if there is no such transition."""
        return TRANSITIONS.get((record.state, step))

    def proof_gap(self, record: ItemRecord, clearances: Sequence[SessionClearance], at_ms: int) -> str:
        """What the clearances lack to prove that no proxy sends to the item's machine; empty if nothing."""
        # When the machine ceased to be a fallback server; -1, before every session, if no time is stored.
        fallback_until = self.registry.former_fallback_servers.get(record.work.machine, -1)
        return proof_gap(
            clearances,
            self.sessions,
            record.begun,
            fallback_until,
            lambda position: self.wait_elapsed(position, at_ms),
        )

    def wait_elapsed(self, position: int, at_ms: int) -> bool:
        """Whether a session that expired at this position has certainly been expired for
        `expired_session_wait_ms`, so that all requests that its proxy sent as with a session have ended."""
        return wait_elapsed(self.registry.time_marks, position, at_ms, self.settings.expired_session_wait_ms)

    def next_permit(self) -> int:
        """The number of the next permit."""
        return self.registry.last_permit + 1

    # --- snapshots ---

    def snapshot(self) -> bytes:
        """Encodes the state."""
        return snapshots.encode(self.registry)

    def restore(self, data: bytes) -> None:
        """Replaces the state. Raises ValueError if the snapshot is invalid."""
        snapshots.restore(self.registry, data)


_HANDLERS: dict[type, Callable[[UpkeepStateMachine, Entry, Any], ItemRecord | None]] = {
    RequestMaintenance: UpkeepStateMachine._request_maintenance,
    ReportFacts: UpkeepStateMachine._report_facts,
    SetFallbackServers: UpkeepStateMachine._set_fallback_servers,
    TakeStep: UpkeepStateMachine._take_step,
    GrantPermit: UpkeepStateMachine._grant_permit,
    ReportReturn: UpkeepStateMachine._report_return,
}
