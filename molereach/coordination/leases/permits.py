"""Which activities of a proxy need a valid session, and what the proxy does instead without one.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 2: a holder that cannot renew its lease loses
performance, not correctness.
"""

from dataclasses import dataclass
from enum import Enum

from molereach.coordination.interface.sessions import Session


class LeasedActivity(Enum):
    """An activity of a proxy that may depend on its session."""

    SERVE = "serve"  # serve requests from the servers that it may use
    CACHE = "memory"  # answer requests from the cache
    SERVERS = "servers"  # use servers beyond those assigned under its last session
    PERMIT = "permit"  # grant maintenance permits to machines
    SPLIT = "split"  # take part in a split of a shard


@dataclass(frozen=True, slots=True)
class ActivityRule:
    """Whether an activity needs a valid session, and what the proxy does without one."""

    needs_session: bool
    fallback: str


ACTIVITY_RULES: dict[LeasedActivity, ActivityRule] = {
    LeasedActivity.SERVE: ActivityRule(False, "it keeps serving: requests never wait for coordination"),
    LeasedActivity.CACHE: ActivityRule(
        True, "it asks a server each time, and keeps its entries but reads none until it has caught up"
    ),
    LeasedActivity.SERVERS: ActivityRule(True, "it uses only the servers assigned under its last session"),
    LeasedActivity.PERMIT: ActivityRule(True, "it grants none; permits in use end at their own deadline"),
    LeasedActivity.SPLIT: ActivityRule(
        True, "it neither takes over nor moves anything, and routes by the map that it has"
    ),
}


def is_allowed(activity: LeasedActivity, session: Session, now_us: int) -> bool:
    """Whether an activity is allowed at `now_us`; read the clock after any step that may take time."""
    return not ACTIVITY_RULES[activity].needs_session or session.holds(now_us)
