"""What a proxy may do only under its session, and what it does without one; checked before each use.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 2: a holder that cannot renew does without, and
nothing breaks.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.coordination.interface.sessions import Session


class LeasedActivity(Enum):
    """An activity of a proxy that others may have to count on."""

    SERVE = "serve"  # requests, by the servers that it may use
    CACHE = "memory"  # answer from the cache
    SERVERS = "servers"  # use servers beyond those that its last session left it
    PERMIT = "permit"  # give maintenance permits to machines
    SPLIT = "split"  # take part in a split of a shard


@dataclass(frozen=True, slots=True)
class ActivityRule:
    """Whether an activity needs the session, and what is done instead without one."""

    needs_session: bool
    instead: str


ACTIVITY_RULES: dict[LeasedActivity, ActivityRule] = {
    LeasedActivity.SERVE: ActivityRule(False, "it serves on: requests never wait for coordination"),
    LeasedActivity.CACHE: ActivityRule(
        True, "it asks a server each time, and keeps its entries unread until it has caught up"
    ),
    LeasedActivity.SERVERS: ActivityRule(
        True, "it uses the servers that its last session left it, and none beyond"
    ),
    LeasedActivity.PERMIT: ActivityRule(True, "it gives none; those in use end by their own time"),
    LeasedActivity.SPLIT: ActivityRule(True, "it takes and moves nothing, and routes by the map that it has"),
}


def is_allowed(activity: LeasedActivity, session: Session, now_us: int) -> bool:
    """Whether an activity is allowed at `now_us`, which is read after anything that may have taken time."""
    return not ACTIVITY_RULES[activity].needs_session or session.holds(now_us)
