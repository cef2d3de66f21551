"""The parent of this proxy, and when it is given up for another.

A parent counts only while it brings heartbeats (ballot, number) above any received before, and only the
leader makes new ones. So proxies that follow one another in a ring receive nothing new, and each leaves after
about two intervals, whatever made the ring: no table of paths is needed. A parent too many steps from the
leader is left likewise.

Candidates in order: the parent by rank, its parent, the leader, a voter, and random live proxies. A proxy
served by another than its parent by rank, the preferred one, requests that from time to time, and keeps the
parent that serves it meanwhile.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from molereach.coordination.dissemination.ranked_tree import RankedTree
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US

CANDIDATES_PER_ROUND = 6  # before the first is tried once more
MAX_REDIRECTS = 4  # followed in a row
MAX_ATTEMPTS = 1 << 10
MAX_BACKOFF_EXPONENT = 8


class HeartbeatId(NamedTuple):
    """One heartbeat of a leader; higher ones are newer."""

    ballot: int
    number: int


class ParentTracker:
    """The parent, or the search for one."""

    def __init__(self, settings: DisseminationSettings, draw: Callable[[], float]) -> None:
        self.settings = settings
        self.draw = draw
        self.max_depth = settings.max_depth
        self.name: str | None = None
        self.last_heartbeat = HeartbeatId(0, 0)  # the highest from any parent
        self.depth = 0  # steps from the leader
        self.confirmed = False  # a newer heartbeat came since this parent was chosen
        self.expires_us = NEVER_US  # when the parent is given up
        self.attempts = 0
        self.redirects = 0
        self.preferred_retry_us = NEVER_US  # when to request the parent by rank
        self.preferred_attempts = 0

    def is_connected(self, now_us: int) -> bool:
        """Whether messages from here derive from the leader."""
        return self.confirmed and now_us < self.expires_us

    def is_expired(self, now_us: int) -> bool:
        """Whether the parent is to be given up."""
        return now_us >= self.expires_us

    def on_heartbeat(self, now_us: int, heartbeat: HeartbeatId, depth: int) -> bool:
        """Apply a message of the parent, which is at that depth; whether it was a new heartbeat."""
        if heartbeat <= self.last_heartbeat or depth >= self.max_depth:
            return False
        self.last_heartbeat = heartbeat
        self.confirmed = True
        self.depth = depth + 1
        self.attempts = 0
        self.redirects = 0
        self.expires_us = now_us + self.settings.parent_timeout_us(self.depth)
        return True

    def attach(self, now_us: int, name: str | None) -> None:
        """Follow this parent from now on; its next heartbeat confirms it."""
        self.name = name
        self.confirmed = False
        rounds = self.attempts / CANDIDATES_PER_ROUND
        intervals = min(
            self.settings.attach_timeout_intervals + rounds, self.settings.max_attach_timeout_intervals
        )
        timeout_us = int(self.settings.heartbeat_interval_us * intervals * (1 + self.draw() / 4))
        self.expires_us = now_us + timeout_us

    def detach(self) -> None:
        """Follow nobody, as the leader does."""
        self.name = None
        self.confirmed = False
        self.expires_us = NEVER_US
        self.preferred_retry_us = NEVER_US
        self.attempts = 0
        self.redirects = 0
        self.depth = 0

    def follow_redirect(self, now_us: int, name: str) -> bool:
        """Follow the redirect of a parent without capacity; False after too many in a row."""
        self.redirects += 1
        if self.redirects > MAX_REDIRECTS:
            return False
        self.attach(now_us, name)
        return True

    def try_next_candidate(
        self, now_us: int, tree: RankedTree, voters: Collection[str], below: Collection[str]
    ) -> None:
        """Replace the parent by the next candidate; `below` are the children, which are no candidates."""
        name = None
        for _ in range(CANDIDATES_PER_ROUND):
            name = self.candidate(self.attempts % CANDIDATES_PER_ROUND, tree, voters, below)
            self.attempts = min(self.attempts + 1, MAX_ATTEMPTS)
            if name is not None and name not in (tree.local_name, self.name):
                break
        else:
            name = self.name  # there is no other
        self.redirects = 0
        self.attach(now_us, name)

    def candidate(
        self, index: int, tree: RankedTree, voters: Collection[str], below: Collection[str]
    ) -> str | None:
        """The candidate of that index in a round."""
        match index:
            case 0:
                return tree.parent
            case 1:
                return tree.parent_of(tree.parent)
            case 2:
                return tree.leader
            case 3:
                return self.random_choice(sorted(set(voters) - {tree.local_name}))
            case _:
                others = [name for name in tree.names if name != tree.local_name and name not in below]
                return self.random_choice(others)

    def random_choice(self, names: list[str]) -> str | None:
        """A random name; None of an empty list."""
        return names[min(int(self.draw() * len(names)), len(names) - 1)] if names else None

    # --- return to the parent by rank ---

    def schedule_preferred(self, now_us: int) -> None:
        """After a change of the tree by rank: request within an interval, not all proxies at once."""
        self.preferred_attempts = 0
        self.preferred_retry_us = now_us + int(self.settings.heartbeat_interval_us * self.draw())

    def seek_preferred(self, now_us: int, tree: RankedTree) -> None:
        """Once a parent serves that is not the parent by rank, start to request that."""
        if self.name != tree.parent and self.preferred_retry_us == NEVER_US:
            self.schedule_preferred(now_us)

    def preferred_to_request(self, now_us: int, tree: RankedTree) -> str | None:
        """The parent by rank, if it is time to request it."""
        if now_us < self.preferred_retry_us:
            return None
        if self.name == tree.parent or tree.parent is None:
            self.preferred_retry_us = NEVER_US
            return None
        backoff = 1 << min(self.preferred_attempts, MAX_BACKOFF_EXPONENT)
        intervals = min(backoff, self.settings.max_preferred_parent_intervals)
        wait_us = int(self.settings.heartbeat_interval_us * (intervals + self.draw()))
        self.preferred_retry_us = now_us + wait_us
        self.preferred_attempts += 1
        return tree.parent if self.is_connected(now_us) else None
