"""Short constructors for log entries and node instances."""

import msgspec

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.bodies import MACHINE, Body, OpenSession, encode
from molereach.coordination.leases.sessions import ActiveSession, SessionRegistry

A, B, C = NodeInstance("a", 1), NodeInstance("b", 1), NodeInstance("c", 1)


def entry(
    position: int, body: Body | bytes, proposer: NodeInstance = A, entry_id: str = "", machine: str = MACHINE
) -> Entry:
    data = body if isinstance(body, bytes) else encode(body)
    return Entry(position, machine, entry_id or f"id{position}", proposer, position, data)


def open_session(sessions: SessionRegistry, position: int, instance: NodeInstance) -> Outcome:
    return sessions.apply(entry(position, OpenSession(instance), instance))


def fencing_token_of(outcome: Outcome) -> int:
    return msgspec.json.decode(outcome.value, type=ActiveSession).fencing_token
