"""What hangs on a session, and what a front door does without one: one table, asked before each use.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 2: whoever cannot renew does without, and nothing
breaks.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.coordination.interface.sessions import Session


class LeasedActivity(Enum):
    """What a front door does that others may have to count on."""

    SERVE = "serve"  # requests, by the servers that it may use
    CACHE = "memory"  # answer from memory
    SERVERS = "servers"  # use servers beyond those that its last session left it
    PERMIT = "permit"  # give permits to machines out for work
    SPLIT = "split"  # take part in a split of a shard


@dataclass(frozen=True, slots=True)
class ActivityRule:
    """Whether a use needs the session, and what is done instead without it."""

    needs_session: bool
    instead: str


ACTIVITY_RULES: dict[LeasedActivity, ActivityRule] = {
    LeasedActivity.SERVE: ActivityRule(False, "it serves on: requests never wait for the council"),
    LeasedActivity.CACHE: ActivityRule(
        True, "it asks a server each time, and keeps what it had unread until it has caught up"
    ),
    LeasedActivity.SERVERS: ActivityRule(
        True, "it uses the servers that its last session left it, and none beyond"
    ),
    LeasedActivity.PERMIT: ActivityRule(True, "it gives none; those that are out end by their own time"),
    LeasedActivity.SPLIT: ActivityRule(True, "it takes and moves nothing, and sends by the map that it has"),
}


def is_allowed(kind: LeasedActivity, session: Session, now_us: int) -> bool:
    """Whether this use is allowed at `now_us`, which is read after all that may have taken time before it."""
    return not ACTIVITY_RULES[kind].needs_session or session.holds(now_us)
