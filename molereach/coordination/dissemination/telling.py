"""Words down: a pulse to all below, entries at once, each grant only to the child that its ask came by."""

from collections.abc import Iterable

from molereach.coordination.dissemination.children import Children
from molereach.coordination.dissemination.gather import Gather
from molereach.coordination.dissemination.parent import Above
from molereach.coordination.dissemination.pass_on import PassOn
from molereach.coordination.dissemination.settings import Settings
from molereach.coordination.dissemination.standing import Standing
from molereach.coordination.dissemination.words import Action, Down, Granted, Grown, Redirect, RenewalGrant
from molereach.coordination.interface.core import SendMessage

Actions = list[Action | SendMessage]


class Telling:
    """What is known below, and what goes there; `out` is the core's list of actions."""

    def __init__(self, settings: Settings, standing: Standing, above: Above) -> None:
        self.standing, self.above = standing, above
        self.children = Children(settings)
        self.gather = Gather(standing.me.name, 4 * settings.beat_us)
        self.pass_on = PassOn(settings)

    def pulse(self, now: int, grants: Iterable[RenewalGrant], out: Actions) -> None:
        """A beat begins: one word to each child, with the grants for those below it."""
        self.pass_on.pulse()
        self.children.pulse(now)
        below = self.granted(grants, out)
        for name in self.children.table:
            self.down(name, out, grants=tuple(below.get(name, ())))

    def grants(self, grants: Iterable[RenewalGrant], out: Actions) -> None:
        """Pass grants on between pulses."""
        for name, some in self.granted(grants, out).items():
            if name in self.children:
                self.down(name, out, grants=tuple(some))

    def granted(self, grants: Iterable[RenewalGrant], out: Actions) -> dict[str, list[RenewalGrant]]:
        """Keep what is this front door's own; the rest by child."""
        own, below = self.gather.split(grants)
        if own:
            out.append(Granted(tuple(own)))
        return below

    def grown(self, grown: Grown, out: Actions) -> None:
        if not self.pass_on.grown(grown.position, grown.entries):
            return
        for name, child in self.children.table.items():
            if child.applied < self.pass_on.applied:
                self.down(name, out, with_entries=True)

    def down(
        self, name: str, out: Actions, with_entries: bool = False, grants: tuple[RenewalGrant, ...] = ()
    ) -> None:
        child, (ballot, number) = self.children.table[name], self.above.mark
        leader = self.standing.leader
        if leader is None or ballot < self.standing.ballot:  # nothing of the newest leader is known here
            return
        entries = self.pass_on.after(child.applied) if with_entries else ()
        word = Down(ballot, number, leader, self.above.depth, self.pass_on.applied, entries, grants)
        out.append(SendMessage(name, word, child.life))

    def redirect(self, name: str, parent: str | None, out: Actions) -> None:
        if parent is not None and parent != name:
            out.append(SendMessage(name, Redirect(parent, self.standing.ballot, self.standing.leader)))
