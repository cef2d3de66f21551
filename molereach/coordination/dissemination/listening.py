"""Which leader is followed, and by way of whom: what the log and the words of others do to that choice."""

from collections.abc import Callable, Collection

from molereach.coordination.dissemination.parent import Above, Mark
from molereach.coordination.dissemination.settings import Settings
from molereach.coordination.dissemination.standing import Standing
from molereach.coordination.dissemination.words import Redirect, View
from molereach.coordination.interface.identifiers import NodeInstance


class Listening:
    """Its parent is `above.name`; the core tells of a change and speaks to a new one at once."""

    def __init__(self, me: NodeInstance, settings: Settings, draw: Callable[[], float]) -> None:
        self.me = me
        self.standing = Standing(me, settings.fan)
        self.above = Above(settings, draw)

    def rooted(self, now: int) -> bool:
        """Whether what is said here comes from the newest leader known."""
        standing, above = self.standing, self.above
        return standing.leads or (above.rooted(now) and above.mark[0] == standing.ballot)

    def view(self, now: int, view: View, below: Collection[str]) -> bool:
        """Take a view; whether this front door leads from now on, or under a new ballot."""
        standing, above = self.standing, self.above
        ballot, led, parent = standing.ballot, standing.leads, standing.ranks.parent
        standing.view(view)
        newer, home = standing.ballot > ballot, standing.ranks.parent
        if standing.leads:
            if newer or not led:
                above.leave()
            return newer or not led
        self.followed(now, newer, parent)
        if home is None or led:
            if above.name is None:
                self.search(now, below)
        elif home != above.name and (
            (newer and standing.leader is not None) or (home != parent and not self.rooted(now))
        ):
            above.attach(now, home)
        return False

    def told(self, now: int, ballot: int, leader: str | None) -> bool:
        """Another front door knows this leader; whether it is newer than what was known here."""
        parent = self.standing.ranks.parent
        if leader is None or not self.standing.told(ballot, leader):
            return False
        self.followed(now, True, parent)
        return True

    def followed(self, now: int, newer: bool, parent: str | None) -> None:
        """Another leads, or nobody; it may be new, or the parent by rank may have changed."""
        if newer:
            self.above.tries = 0
        if newer or self.standing.ranks.parent != parent:
            self.above.home_soon(now)

    def search(self, now: int, below: Collection[str]) -> None:
        self.above.search(now, self.standing.ranks, self.standing.panel, below)

    def heard(self, now: int, sender: str, mark: Mark, depth: int, newer: bool) -> bool:
        """A word came down; whether it is a new pulse of the parent."""
        # In a search, one that was asked before may have found the leader since. Who goes home stays at that.
        lost = (newer or self.above.tries > 0) and not self.rooted(now)
        if lost and mark > self.above.mark and sender != self.above.name:
            self.above.attach(now, sender)
        if sender != self.above.name or not self.above.heard(now, mark, depth):
            return False
        self.above.stray(now, self.standing.ranks)
        return True

    def redirected(self, now: int, sender: str, message: Redirect, below: Collection[str]) -> None:
        home, above = self.standing.ranks.parent, self.above
        if self.told(now, message.ballot, message.leader):
            above.attach(now, self.standing.ranks.parent)
        elif self.standing.leads or message.parent == self.me.name:
            return
        elif message.parent == sender:  # it would be the parent; only that by rank was asked
            if sender == home != above.name:
                above.attach(now, sender)
        elif sender == above.name and not above.redirected(now, message.parent):
            self.search(now, below)
