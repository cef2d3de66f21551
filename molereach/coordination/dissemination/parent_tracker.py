"""Tracks the parent of this proxy, and replaces it after a timeout.

A parent is kept only while it delivers heartbeats (ballot, number) higher than any received before, and only
the leader issues new ones. In a cycle no new heartbeats arrive, so its members leave it after about two
intervals, whatever caused it: no path information is needed. A parent too far from the leader is likewise
replaced.

The preferred parent is the one that the ranks of the live proxies give. Candidates are, in order: the
preferred parent, its parent, the leader, a voter, and random live proxies. While a proxy follows another
parent, it periodically asks the preferred one and keeps the current parent until the preferred one consents.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from molereach.coordination.dissemination.ranked_tree import RankedTree
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import NEVER_US

CANDIDATES_PER_ROUND = 6  # before the first is tried again
MAX_REDIRECTS = 4  # followed in succession
MAX_COUNTED_ATTEMPTS = 1 << 10  # the count stops here; the attempts continue
MAX_BACKOFF_EXPONENT = 8


class HeartbeatId(NamedTuple):
    """Identifies a heartbeat; higher ones are newer."""

    ballot: int
    number: int


class ParentTracker:
    """The current parent, and the state of the search for one."""

    def __init__(self, settings: DisseminationSettings, draw: Callable[[], float]) -> None:
        self.settings = settings
        self.draw = draw
        self.max_depth = settings.max_depth
        self.parent_name: str | None = None
        self.last_heartbeat = HeartbeatId(0, 0)  # the highest received from any parent
        self.depth = 0  # hops from the leader, whose own depth is 0
        self.confirmed = False  # whether the parent has sent a newer heartbeat since it was chosen
        self.expires_us = NEVER_US  # when the parent is replaced
        self.attempts = 0
        self.redirects = 0
        self.preferred_retry_us = NEVER_US  # when to ask the preferred parent next
        self.preferred_attempts = 0

    def is_connected(self, now_us: int) -> bool:
        """Whether the parent currently delivers heartbeats of the leader."""
        return self.confirmed and now_us < self.expires_us

    def is_expired(self, now_us: int) -> bool:
        """Whether the parent is to be replaced."""
        return now_us >= self.expires_us

    def on_heartbeat(self, now_us: int, heartbeat: HeartbeatId, depth: int) -> bool:
        """Apply an update of the parent, which is `depth` hops from the leader; returns whether it counts.

        A heartbeat does not count if it is not newer than the last one, or if the parent is too far from the
        leader to follow it.
        """
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
        """Follow a parent; its next new heartbeat confirms it."""
        self.parent_name = name
        self.confirmed = False
        rounds = self.attempts / CANDIDATES_PER_ROUND
        intervals = min(
            self.settings.attach_timeout_intervals + rounds, self.settings.max_attach_timeout_intervals
        )
        timeout_us = int(self.settings.heartbeat_interval_us * intervals * (1 + self.draw() / 4))
        self.expires_us = now_us + timeout_us

    def detach(self) -> None:
        """Follow no parent, as is the case for the leader."""
        self.parent_name = None
        self.confirmed = False
        self.expires_us = NEVER_US
        self.preferred_retry_us = NEVER_US
        self.attempts = 0
        self.redirects = 0
        self.depth = 0

    def follow_redirect(self, now_us: int, name: str) -> bool:
        """Follow the redirect of a parent without capacity; False after too many in succession."""
        self.redirects += 1
        if self.redirects > MAX_REDIRECTS:
            return False
        self.attach(now_us, name)
        return True

    def try_next_candidate(
        self, now_us: int, tree: RankedTree, voters: Collection[str], children: Collection[str]
    ) -> None:
        """Follow the next candidate.

        A random proxy is never one of the children; any other candidate, also the voter, may be one.
        """
        name = None
        for _ in range(CANDIDATES_PER_ROUND):
            name = self.candidate(self.attempts % CANDIDATES_PER_ROUND, tree, voters, children)
            self.attempts = min(self.attempts + 1, MAX_COUNTED_ATTEMPTS)
            if name is not None and name not in (tree.local_name, self.parent_name):
                break
        else:
            name = self.parent_name  # no other candidate
        self.redirects = 0
        self.attach(now_us, name)

    def candidate(
        self, index: int, tree: RankedTree, voters: Collection[str], children: Collection[str]
    ) -> str | None:
        """The candidate at an index of the round; None if there is none."""
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
                others = [name for name in tree.names if name != tree.local_name and name not in children]
                return self.random_choice(others)

    def random_choice(self, names: list[str]) -> str | None:
        """A random name; None if the list is empty."""
        return names[min(int(self.draw() * len(names)), len(names) - 1)] if names else None

    # --- return to the preferred parent ---

    def schedule_preferred_request(self, now_us: int) -> None:
        """Ask the preferred parent at a random time within an interval, to spread the requests of proxies."""
        self.preferred_attempts = 0
        self.preferred_retry_us = now_us + int(self.settings.heartbeat_interval_us * self.draw())

    def ensure_preferred_request_scheduled(self, now_us: int, tree: RankedTree) -> None:
        """Start asking the preferred parent if another one is followed."""
        if self.parent_name != tree.parent and self.preferred_retry_us == NEVER_US:
            self.schedule_preferred_request(now_us)

    def preferred_to_request(self, now_us: int, tree: RankedTree) -> str | None:
        """The preferred parent if it is to be asked now; else None."""
        if now_us < self.preferred_retry_us:
            return None
        if self.parent_name == tree.parent or tree.parent is None:
            self.preferred_retry_us = NEVER_US
            return None
        backoff = 1 << min(self.preferred_attempts, MAX_BACKOFF_EXPONENT)
        intervals = min(backoff, self.settings.max_preferred_parent_intervals)
        wait_us = int(self.settings.heartbeat_interval_us * (intervals + self.draw()))
        self.preferred_retry_us = now_us + wait_us
        self.preferred_attempts += 1
        return tree.parent if self.is_connected(now_us) else None
