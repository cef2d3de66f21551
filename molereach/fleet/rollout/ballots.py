"""Having an order agreed by a majority of agents (`agreement`): when a ballot is tried again, with whom."""

from collections.abc import Iterator
from dataclasses import dataclass

from molereach.fleet.agreement import Accept, Message, Phase, Prepare, Proposer
from molereach.fleet.orders import Order
from molereach.fleet.rollout.events import Action, Say, Step, to_all

RETRY_US = 150_000  # until a ballot is tried again, at least, and up to three times that by chance
PATIENCE = 3  # and as many times as a majority took to be seen: replies of a large fleet take their time
LEAST_TRIES = 20  # within the time for agreeing


@dataclass(slots=True)
class Ballots:
    """The ballots of one run of the tool. `run` names it; `draws` are numbers from 0 to 1 by chance."""

    run: str
    draws: Iterator[float]
    agree_us: int
    pace_us: int = 0
    retry_us: int = 0
    proposer: Proposer | None = None

    def majority_took(self, took_us: int) -> None:
        """How long it was until a majority had been seen."""
        self.pace_us = PATIENCE * took_us

    def open(self, agents: tuple[str, ...], order: Order, revision: int) -> None:
        """Propose an order at a revision from now on."""
        self.proposer, self.retry_us = Proposer(self.run, agents, order, revision), 0

    def propose(self, now_us: int) -> list[Action]:
        """Begin, or go on: the same ballot to those who have not answered, a higher one after an outbid.

        A new ballot for each try would outbid the replies that are still on their way from a large fleet.
        """
        proposer = self.proposer
        assert proposer is not None
        pace_us = max(RETRY_US, min(self.pace_us, self.agree_us // LEAST_TRIES))
        begun, self.retry_us = self.retry_us, now_us + round(pace_us * (1 + 2 * next(self.draws)))
        if not begun or proposer.outbid >= proposer.ballot.number:
            return to_all(proposer.agents, proposer.begin())
        answered = proposer.promises if proposer.phase is Phase.PREPARING else proposer.accepts
        missing = [agent for agent in proposer.agents if agent not in answered]
        return [action for agent in missing for action in again(agent, proposer)]

    def tick(self, now_us: int) -> list[Action]:
        return self.propose(now_us) if now_us >= self.retry_us else []


def take(proposer: Proposer, agent: str, message: Message) -> list[Action]:
    """A reply of an agent, and the steps that it was."""
    before, accepts = proposer.phase, len(proposer.accepts)
    actions = to_all(proposer.agents, proposer.handle(agent, message))
    if before is Phase.PREPARING and proposer.phase is Phase.ACCEPTING:
        actions = [Step("promised"), *actions, Step("accepting")]
    if not accepts and proposer.accepts and not proposer.finished:
        actions.append(Step("accepted"))
    return actions


def again(agent: str, proposer: Proposer) -> list[Action]:
    """What an agent has not answered, or was behind and could not judge."""
    if proposer.phase is Phase.PREPARING:
        return [Say(agent, Prepare(proposer.revision, proposer.ballot))]
    if proposer.phase is Phase.ACCEPTING and proposer.chosen:
        return [Say(agent, Accept(proposer.revision, proposer.ballot, proposer.chosen))]
    return []
