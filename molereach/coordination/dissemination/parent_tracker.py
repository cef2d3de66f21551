"""Whom this front door listens to, and when that is in doubt.

A parent counts only while it brings pulses with a higher mark (ballot, number) than any heard before, and
only the leader makes new ones. So doors that listen to one another in a ring hear nothing new, and each
leaves after about two beats, whatever made the ring: no table of paths is needed. One that is too many steps
from the leader is left likewise.

Next is asked: the parent by rank, the grandparent, the leader, one of the panel, and living ones by chance.
Who is served by another than its parent by rank asks for that now and then, without leaving what serves.
"""

from collections.abc import Callable, Collection

from molereach.coordination.dissemination.ranked_tree import RankedTree
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US

HeartbeatId = tuple[int, int]  # ballot and number of a pulse
CANDIDATES_PER_ROUND = 6  # candidates before the first is asked again
MAX_REDIRECTS = 4  # redirects that are followed in a row
MAX_ATTEMPTS = 1 << 10


class ParentTracker:
    """The parent, or the search for one."""

    def __init__(self, settings: DisseminationSettings, draw: Callable[[], float]) -> None:
        self.settings, self.draw = settings, draw
        self.max_depth = settings.max_depth
        self.name: str | None = None
        self.last_heartbeat: HeartbeatId = (0, 0)  # the highest heard from any parent
        self.depth = 0  # steps down from the leader
        self.confirmed = False  # the mark has risen since this parent was taken
        self.expires_us = NEVER_US  # when it is in doubt
        self.attempts = 0
        self.redirects = 0
        self.preferred_retry_us = NEVER_US  # when to ask for the parent by rank
        self.preferred_attempts = 0

    def is_connected(self, now_us: int) -> bool:
        """Whether what is said here comes from the leader."""
        return self.confirmed and now_us < self.expires_us

    def is_expired(self, now_us: int) -> bool:
        return now_us >= self.expires_us

    def on_heartbeat(self, now_us: int, mark: HeartbeatId, depth: int) -> bool:
        """A word of the parent came, which is at that depth; whether it was a new pulse."""
        if mark <= self.last_heartbeat or depth >= self.max_depth:
            return False
        self.last_heartbeat, self.confirmed, self.depth = mark, True, depth + 1
        self.attempts = self.redirects = 0
        self.expires_us = now_us + self.settings.parent_timeout_us(self.depth)
        return True

    def attach(self, now_us: int, name: str | None) -> None:
        """Listen to this one from now on. What serves proves itself by its next pulse."""
        self.name, self.confirmed = name, False
        more = self.attempts / CANDIDATES_PER_ROUND
        beats = min(self.settings.attach_timeout_intervals + more, self.settings.max_attach_timeout_intervals)
        self.expires_us = now_us + int(self.settings.heartbeat_interval_us * beats * (1 + self.draw() / 4))

    def detach(self) -> None:
        """The leader listens to nobody."""
        self.name, self.confirmed, self.expires_us, self.preferred_retry_us = None, False, NEVER_US, NEVER_US
        self.attempts = self.redirects = self.depth = 0

    def follow_redirect(self, now_us: int, name: str) -> bool:
        """Follow a parent without room; False after too many of them in a row."""
        self.redirects += 1
        if self.redirects > MAX_REDIRECTS:
            return False
        self.attach(now_us, name)
        return True

    def try_next_candidate(
        self, now_us: int, ranks: RankedTree, panel: Collection[str], below: Collection[str]
    ) -> None:
        """Leave a parent that is in doubt for the next candidate."""
        name = None
        for _ in range(CANDIDATES_PER_ROUND):
            name = self.candidate(self.attempts % CANDIDATES_PER_ROUND, ranks, panel, below)
            self.attempts = min(self.attempts + 1, MAX_ATTEMPTS)
            if name is not None and name not in (ranks.local_name, self.name):
                break
        else:
            name = self.name  # there is no other
        self.redirects = 0
        self.attach(now_us, name)

    def candidate(
        self, at: int, ranks: RankedTree, panel: Collection[str], below: Collection[str]
    ) -> str | None:
        match at:
            case 0:
                return ranks.parent
            case 1:
                return ranks.parent_of(ranks.parent)
            case 2:
                return ranks.leader
            case 3:
                return self.random_choice(sorted(set(panel) - {ranks.local_name}))
            case _:
                return self.random_choice(
                    [name for name in ranks.names if name != ranks.local_name and name not in below]
                )

    def random_choice(self, names: list[str]) -> str | None:
        return names[min(int(self.draw() * len(names)), len(names) - 1)] if names else None

    # --- back to the parent by rank ---

    def schedule_preferred(self, now_us: int) -> None:
        """The tree by rank has changed: not all that this concerns ask at once."""
        self.preferred_attempts = 0
        self.preferred_retry_us = now_us + int(self.settings.heartbeat_interval_us * self.draw())

    def seek_preferred(self, now_us: int, ranks: RankedTree) -> None:
        """One serves; where it is not the parent by rank, ask for that from now on."""
        if self.name != ranks.parent and self.preferred_retry_us == NEVER_US:
            self.schedule_preferred(now_us)

    def preferred_to_request(self, now_us: int, ranks: RankedTree) -> str | None:
        """The parent by rank, if it is time to ask for it."""
        if now_us < self.preferred_retry_us:
            return None
        if self.name == ranks.parent or ranks.parent is None:
            self.preferred_retry_us = NEVER_US
            return None
        beats = min(1 << min(self.preferred_attempts, 8), self.settings.max_preferred_parent_intervals)
        self.preferred_retry_us = now_us + int(self.settings.heartbeat_interval_us * (beats + self.draw()))
        self.preferred_attempts += 1
        return ranks.parent if self.is_connected(now_us) else None
