"""The state machine "sessions": which sessions are open, and how earlier ones ended.

A session's fencing token is the position of the entry that opened it. Sources: Burrows, "The Chubby lock
service" (OSDI 2006), sections 2.4 and 2.8; Ongaro, "Consensus: Bridging Theory and Practice" (2014), section
6.3.
"""

from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, NodeInstance, Position, WireStruct
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.bodies import (
    MACHINE,
    BallotNumber,
    BecomeManager,
    CloseSession,
    EndSession,
    OpenSession,
    decode,
)
from molereach.coordination.leases.errors import InvalidSnapshotError

MAX_ENDED_SESSIONS = 4  # kept of each name, for proofs in progress


class ActiveSession(WireStruct, frozen=True):
    """An open session."""

    instance: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")


class EndedSession(WireStruct, frozen=True):
    """A session that has ended: the evidence, and the position of the entry that ended it."""

    instance: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")
    evidence: ClearanceEvidence = field(name="known")
    position: Position


class _NodeSessions(WireStruct, frozen=True):
    """The sessions of one name; ended ones are sorted from oldest to newest.

    `first_dropped_token` is the fencing token of the oldest session that was forgotten; 0 for none.
    """

    name: Name
    active: ActiveSession | None = field(name="open", default=None)
    ended: Annotated[tuple[EndedSession, ...], Meta(max_length=MAX_ENDED_SESSIONS)] = field(
        name="past", default=()
    )
    first_dropped_token: Position = field(name="dropped", default=0)

    @property
    def latest_instance(self) -> NodeInstance | None:
        """The highest instance that has had a session."""
        if self.active:
            return self.active.instance
        return self.ended[-1].instance if self.ended else None


class _State(WireStruct, frozen=True):
    """A snapshot: the lease manager's ballot, and each node's sessions, sorted by name, each name once."""

    ballot: BallotNumber
    nodes: Annotated[tuple[_NodeSessions, ...], Meta(max_length=MAX_MEMBERS)] = field(name="doors")


class SessionRegistry:
    """The sessions of all nodes, at most one open for each name; implements `StateMachine`."""

    name = MACHINE

    def __init__(self) -> None:
        self.ballot = 0  # of the current lease manager
        self._nodes: dict[str, _NodeSessions] = {}

    # --- queries ---

    def active_session(self, name: str) -> ActiveSession | None:
        """The open session of a name, or None."""
        node = self._nodes.get(name)
        return node.active if node else None

    def last_ended_session(self, name: str) -> EndedSession | None:
        """The session of a name that ended most recently, or None."""
        node = self._nodes.get(name)
        return node.ended[-1] if node and node.ended else None

    def latest_instance(self, name: str) -> NodeInstance | None:
        """The highest instance of a name that has had a session, or None."""
        node = self._nodes.get(name)
        return node.latest_instance if node else None

    def active_sessions(self) -> list[ActiveSession]:
        """All open sessions."""
        return [node.active for node in self._nodes.values() if node.active]

    def sessions_open_at(self, position: int) -> Iterator[ActiveSession | EndedSession]:
        """The current records of the sessions that were open when this position was applied.

        Where the session itself was forgotten, the oldest remembered one of its name takes its place as
        evidence that the node has restarted. A name that was evicted to make space is left out.
        """
        for node in self._nodes.values():
            if node.active and node.active.fencing_token < position:
                yield node.active
            yield from (ended for ended in node.ended if ended.fencing_token < position < ended.position)
            if node.first_dropped_token and node.first_dropped_token < position < node.ended[0].fencing_token:
                first = node.ended[0]
                yield EndedSession(
                    first.instance, first.fencing_token, ClearanceEvidence.RESTARTED, first.fencing_token
                )

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        """Apply an entry about sessions; if the outcome is an error, the state is unchanged."""
        try:
            body = decode(entry.body)
        except msgspec.DecodeError:  # the decoder's error text may differ between library versions
            return Outcome("not understood")
        match body:
            case OpenSession():
                return self._open_session(entry, body.instance)
            case EndSession():
                if body.ballot != self.ballot:
                    return Outcome("another leader keeps the sessions")
                ended = EndedSession(
                    body.instance, body.fencing_token, ClearanceEvidence.SESSION_EXPIRED, entry.position
                )
                return self._end_session(ended)
            case CloseSession():
                if entry.proposer != body.instance:
                    return Outcome("a session is closed by its own front door alone")
                ended = EndedSession(
                    body.instance, body.fencing_token, ClearanceEvidence.LEFT, entry.position
                )
                return self._end_session(ended)
            case BecomeManager():
                if body.ballot <= self.ballot:
                    return Outcome("a later leader keeps the sessions")
                self.ballot = body.ballot
                return Outcome()

    def _open_session(self, entry: Entry, instance: NodeInstance) -> Outcome:
        if entry.proposer != instance:
            return Outcome("a session is opened by its own front door alone")
        node = self._nodes.get(instance.name)
        if node is None:
            if len(self._nodes) >= MAX_MEMBERS and not self._evict_one_node():
                return Outcome(f"more than {MAX_MEMBERS} front doors")
            node = _NodeSessions(instance.name)
        if node.active and node.active.instance == instance:
            return Outcome(value=msgspec.json.encode(node.active))
        if rejection := self._rejection(node, instance):
            return Outcome(rejection)
        if node.active:
            node = _with_ended_session(node, _restarted_session(node.active, entry.position))
        opened = ActiveSession(instance, entry.position)
        self._nodes[instance.name] = msgspec.structs.replace(node, active=opened)
        return Outcome(value=msgspec.json.encode(opened))

    @staticmethod
    def _rejection(node: _NodeSessions, instance: NodeInstance) -> str:
        """Why an instance may not open a session, or "".

        A process that was paused until its session expired may open a new one; a process that closed its
        session may not.
        """
        if node.latest_instance is None or node.latest_instance < instance:
            return ""
        if node.latest_instance > instance:
            return "a later life of this name has had a session"
        return "" if node.ended[-1].evidence is ClearanceEvidence.SESSION_EXPIRED else "this life has left"

    def _end_session(self, ended: EndedSession) -> Outcome:
        name = ended.instance.name
        node = self._nodes.get(name)
        if node is None or node.active != ActiveSession(ended.instance, ended.fencing_token):
            return Outcome("no such session is open")
        self._nodes[name] = _with_ended_session(node, ended)
        return Outcome()

    def _evict_one_node(self) -> bool:
        """Remove the name whose last session ended earliest; False if every name has an open one."""
        inactive = [node for node in self._nodes.values() if not node.active]
        if not inactive:
            return False
        del self._nodes[min(inactive, key=lambda node: node.ended[-1].position).name]
        return True

    # --- snapshots ---

    def snapshot(self) -> bytes:
        """The state as JSON, sorted by name."""
        nodes = tuple(self._nodes[name] for name in sorted(self._nodes))
        return msgspec.json.encode(_State(self.ballot, nodes))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; raises `InvalidSnapshotError` and is then unchanged."""
        try:
            state = msgspec.json.decode(data, type=_State)
        except msgspec.DecodeError as error:
            raise InvalidSnapshotError(str(error)) from None
        names = [node.name for node in state.nodes]
        if names != sorted(set(names)) or any(not _is_consistent(node) for node in state.nodes):
            raise InvalidSnapshotError("not as any log leaves it")
        self.ballot = state.ballot
        self._nodes = {node.name: node for node in state.nodes}


def _restarted_session(session: ActiveSession, position: int) -> EndedSession:
    """The record of a session that ended because a later instance opened its own at `position`."""
    return EndedSession(session.instance, session.fencing_token, ClearanceEvidence.RESTARTED, position)


def _with_ended_session(node: _NodeSessions, newest: EndedSession) -> _NodeSessions:
    """The node with no open session and one more ended session; the oldest may be dropped."""
    ended = (*node.ended, newest)
    first_dropped_token = node.first_dropped_token
    if len(ended) > MAX_ENDED_SESSIONS:
        first_dropped_token = first_dropped_token or ended[0].fencing_token
        ended = ended[1:]
    return _NodeSessions(node.name, None, ended, first_dropped_token)


def _is_consistent(node: _NodeSessions) -> bool:
    """Whether the sessions of a name are in order, as every log leaves them."""
    if node.first_dropped_token and len(node.ended) < MAX_ENDED_SESSIONS:
        return False
    positions = [node.first_dropped_token]
    for ended in node.ended:
        positions += [ended.fencing_token, ended.position]
    # A replaced session ends at the position that opens its successor, so positions may be equal.
    instances = [ended.instance for ended in node.ended]
    if node.active:
        positions.append(node.active.fencing_token)
        instances.append(node.active.instance)
    names = {instance.name for instance in instances}
    return positions == sorted(positions) and instances == sorted(instances) and names == {node.name}
