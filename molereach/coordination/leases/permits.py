"""What hangs on a session, and what a front door does without one: one table, asked before each use.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 2: whoever cannot renew does without, and nothing
breaks.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.coordination.interface.sessions import Session


class Use(Enum):
    """What a front door does that others may have to count on."""

    SERVE = "serve"  # requests, by the servers that it may use
    MEMORY = "memory"  # answer from memory
    SERVERS = "servers"  # use servers beyond those that its last session left it
    PERMIT = "permit"  # give permits to machines out for work
    SPLIT = "split"  # take part in a split of a shard


@dataclass(frozen=True, slots=True)
class Rule:
    """Whether a use needs the session, and what is done instead without it."""

    needs_session: bool
    instead: str


RULES: dict[Use, Rule] = {
    Use.SERVE: Rule(False, "it serves on: requests never wait for the council"),
    Use.MEMORY: Rule(True, "it asks a server each time, and keeps what it had unread until it has caught up"),
    Use.SERVERS: Rule(True, "it uses the servers that its last session left it, and none beyond"),
    Use.PERMIT: Rule(True, "it gives none; those that are out end by their own time"),
    Use.SPLIT: Rule(True, "it takes and moves nothing, and sends by the map that it has"),
}


def may(kind: Use, session: Session, now_us: int) -> bool:
    """Whether this use is allowed at `now_us`, which is read after all that may have taken time before it."""
    return not RULES[kind].needs_session or session.holds(now_us)
