"""What agents have said of themselves and their front doors, and which could not be asked."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from molereach.fleet.api_bodies import View
from molereach.fleet.orders import Order, Verb
from molereach.fleet.rollout.events import Action, Look


@dataclass(slots=True)
class Sight:
    """The last view of each agent. `expected` names the front doors of each, where the fleet's file does."""

    expected: Mapping[str, tuple[str, ...]]
    views: dict[str, View] = field(default_factory=dict)
    viewed_us: dict[str, int] = field(default_factory=dict)  # what a view says has aged since
    silent: dict[str, str] = field(default_factory=dict)  # who could not be asked, and why
    looking: set[str] = field(default_factory=set)

    def look_at(self, agents: tuple[str, ...]) -> list[Action]:
        """One look at a time for each agent."""
        wanted = [agent for agent in agents if agent not in self.looking]
        self.looking.update(wanted)
        return [Look(agent) for agent in wanted]

    def saw(self, now_us: int, agent: str, view: View) -> None:
        self.looking.discard(agent)
        self.silent.pop(agent, None)
        self.views[agent], self.viewed_us[agent] = view, now_us

    def answered(self, agent: str) -> None:
        self.silent.pop(agent, None)

    def failed(self, agent: str, why: str, look: bool) -> None:
        self.silent[agent] = why
        if look:
            self.looking.discard(agent)

    def forget(self) -> None:
        """Only what is seen from now on counts; how old the last views were is still known."""
        self.views.clear()

    def unseen(self) -> tuple[str, ...]:
        """Agents that could not be asked, and have not been seen either."""
        return tuple(agent for agent in self.silent if agent not in self.views)

    def ready(self) -> dict[str, str]:
        """The servers that are up, with their buildings, by all views."""
        return {name: where for view in self.views.values() for name, where in view.ready.items()}

    def told(self, revision: int) -> int:
        """How many agents have said that they know a revision."""
        return sum(view.book.revision >= revision for view in self.views.values())

    def settled(self, agent: str, revision: int) -> bool:
        """Whether the agent and all its front doors have said that they have a revision."""
        view = self.views.get(agent)
        if view is None or view.book.revision < revision:
            return False
        seen = {door.name: door for door in view.status.doors}
        return all(door.revision >= revision or door.reach == "ended" for door in seen.values()) and all(
            name in seen for name in self.expected.get(agent, ())
        )

    def unheard_of(self, order: Order) -> str:
        """A name that is mistyped is not to stand as an order; '' if it is known."""
        if order.verb is Verb.DRAIN and not any(order.subject in view.ready for view in self.views.values()):
            return f"no front door that answers lists {order.subject} as up; --force drains it all the same"
        doors = {door.name for view in self.views.values() for door in view.status.doors}
        doors |= {name for names in self.expected.values() for name in names}
        if order.verb is Verb.HOLD and order.subject not in doors:
            return f"no agent that answers knows a front door {order.subject}; --force holds it all the same"
        return ""
