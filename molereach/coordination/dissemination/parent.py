"""Whom this front door listens to, and when that is in doubt.

A parent counts only while it brings pulses with a higher mark (ballot, number) than any heard before, and
only the leader makes new ones. So doors that listen to one another in a ring hear nothing new, and each
leaves after about two beats, whatever made the ring: no table of paths is needed. One that is too many steps
from the leader is left likewise.

Next is asked: the parent by rank, the grandparent, the leader, one of the panel, and living ones by chance.
Who is served by another than its parent by rank asks for that now and then, without leaving what serves.
"""

from collections.abc import Callable, Collection

from molereach.coordination.dissemination.ranks import Ranks
from molereach.coordination.dissemination.settings import Settings
from molereach.coordination.interface.core import NEVER_US

Mark = tuple[int, int]  # ballot and number of a pulse
ROUND = 6  # candidates before the first is asked again
MOST_HOPS = 4  # redirects that are followed in a row
MOST_TRIES = 1 << 10


class Above:
    """The parent, or the search for one."""

    def __init__(self, settings: Settings, draw: Callable[[], float]) -> None:
        self.settings, self.draw = settings, draw
        self.most_depth = settings.most_depth
        self.name: str | None = None
        self.mark: Mark = (0, 0)  # the highest heard from any parent
        self.depth = 0  # steps down from the leader
        self.fresh = False  # the mark has risen since this parent was taken
        self.until_us = NEVER_US  # when it is in doubt
        self.tries = 0
        self.hops = 0
        self.home_us = NEVER_US  # when to ask for the parent by rank
        self.home_tries = 0

    def rooted(self, now: int) -> bool:
        """Whether what is said here comes from the leader."""
        return self.fresh and now < self.until_us

    def doubted(self, now: int) -> bool:
        return now >= self.until_us

    def heard(self, now: int, mark: Mark, depth: int) -> bool:
        """A word of the parent came, which is at that depth; whether it was a new pulse."""
        if mark <= self.mark or depth >= self.most_depth:
            return False
        self.mark, self.fresh, self.depth = mark, True, depth + 1
        self.tries = self.hops = 0
        self.until_us = now + self.settings.doubt_us(self.depth)
        return True

    def attach(self, now: int, name: str | None) -> None:
        """Listen to this one from now on. What serves proves itself by its next pulse."""
        self.name, self.fresh = name, False
        more = self.tries / ROUND
        beats = min(self.settings.patience_beats + more, self.settings.most_patience_beats)
        self.until_us = now + int(self.settings.beat_us * beats * (1 + self.draw() / 4))

    def leave(self) -> None:
        """The leader listens to nobody."""
        self.name, self.fresh, self.until_us, self.home_us = None, False, NEVER_US, NEVER_US
        self.tries = self.hops = self.depth = 0

    def redirected(self, now: int, name: str) -> bool:
        """Follow a parent without room; False after too many of them in a row."""
        self.hops += 1
        if self.hops > MOST_HOPS:
            return False
        self.attach(now, name)
        return True

    def search(self, now: int, ranks: Ranks, panel: Collection[str], below: Collection[str]) -> None:
        """Leave a parent that is in doubt for the next candidate."""
        name = None
        for _ in range(ROUND):
            name = self.candidate(self.tries % ROUND, ranks, panel, below)
            self.tries = min(self.tries + 1, MOST_TRIES)
            if name is not None and name not in (ranks.me, self.name):
                break
        else:
            name = self.name  # there is no other
        self.hops = 0
        self.attach(now, name)

    def candidate(self, at: int, ranks: Ranks, panel: Collection[str], below: Collection[str]) -> str | None:
        match at:
            case 0:
                return ranks.parent
            case 1:
                return ranks.parent_of(ranks.parent)
            case 2:
                return ranks.leader
            case 3:
                return self.chance(sorted(set(panel) - {ranks.me}))
            case _:
                return self.chance([name for name in ranks.names if name != ranks.me and name not in below])

    def chance(self, names: list[str]) -> str | None:
        return names[min(int(self.draw() * len(names)), len(names) - 1)] if names else None

    # --- back to the parent by rank ---

    def home_soon(self, now: int) -> None:
        """The tree by rank has changed: not all that this concerns ask at once."""
        self.home_tries = 0
        self.home_us = now + int(self.settings.beat_us * self.draw())

    def stray(self, now: int, ranks: Ranks) -> None:
        """One serves; where it is not the parent by rank, ask for that from now on."""
        if self.name != ranks.parent and self.home_us == NEVER_US:
            self.home_soon(now)

    def home(self, now: int, ranks: Ranks) -> str | None:
        """The parent by rank, if it is time to ask for it."""
        if now < self.home_us:
            return None
        if self.name == ranks.parent or ranks.parent is None:
            self.home_us = NEVER_US
            return None
        beats = min(1 << min(self.home_tries, 8), self.settings.most_home_beats)
        self.home_us = now + int(self.settings.beat_us * (beats + self.draw()))
        self.home_tries += 1
        return ranks.parent if self.rooted(now) else None
