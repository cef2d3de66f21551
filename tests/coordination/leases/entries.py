"""Entries and lives, made in a line."""

import msgspec

from molereach.coordination.interface import Entry, Life, Outcome
from molereach.coordination.leases.bodies import MACHINE, Body, OpenSession, encode
from molereach.coordination.leases.sessions import ActiveSession, SessionRegistry

A, B, C = Life("a", 1), Life("b", 1), Life("c", 1)


def entry(
    position: int, body: Body | bytes, proposer: Life = A, name: str = "", machine: str = MACHINE
) -> Entry:
    data = body if isinstance(body, bytes) else encode(body)
    return Entry(position, machine, name or f"id{position}", proposer, position, data)


def opened(sessions: SessionRegistry, position: int, life: Life) -> Outcome:
    return sessions.apply(entry(position, OpenSession(life), life))


def fence_of(outcome: Outcome) -> int:
    return msgspec.json.decode(outcome.value, type=ActiveSession).fencing_token
