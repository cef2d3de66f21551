"""Has a majority of agents accept an order: when a ballot is sent again, and to whom."""

from collections.abc import Iterator
from dataclasses import dataclass

from molereach.fleet.agreement import Accept, Message, Phase, Prepare, Proposer
from molereach.fleet.orders import Order
from molereach.fleet.rollout.events import Action, SendMessage, Step, send_to_all

MIN_RETRY_DELAY_US = 150_000  # the delay is drawn between this and MAX_JITTER times as much
MAX_JITTER = 3
RETRY_DELAY_FACTOR = 3  # delay over the time in which a majority answered: a large fleet replies slowly
MIN_TRIES = 20  # tries that the delay leaves room for within `agree_us`


@dataclass(slots=True)
class Ballots:
    """The ballots of one run of the tool.

    `run` identifies the run among all proposers, `draws` yields random numbers from 0 to 1, and `agree_us` is
    the time for reaching agreement, in microseconds.
    """

    run: str
    draws: Iterator[float]
    agree_us: int
    pace_us: int = 0
    next_try_us: int = 0
    proposer: Proposer | None = None

    def record_majority_time(self, took_us: int) -> None:
        """Adapt the retry delay to the time in which a majority of agents answered."""
        self.pace_us = RETRY_DELAY_FACTOR * took_us

    def start(self, agents: tuple[str, ...], order: Order, revision: int) -> None:
        """Begin to propose `order` at `revision`; `propose` gives the messages."""
        self.proposer = Proposer(self.run, agents, order, revision)
        self.next_try_us = 0

    def propose(self, now_us: int) -> list[Action]:
        """Return the messages of the next try, and schedule the one after it.

        Agents that have not answered get the same ballot once more; a higher ballot goes to all only after
        an `Outbid`. A new ballot for each try would outbid replies of a large fleet that are on their way.
        """
        proposer = self.proposer
        assert proposer is not None
        first_try = not self.next_try_us
        self.next_try_us = now_us + self.retry_delay_us()
        if first_try or proposer.outbid >= proposer.ballot.number:
            return send_to_all(proposer.agents, proposer.begin())
        answered = proposer.promises if proposer.phase is Phase.PREPARING else proposer.accepts
        missing = [agent for agent in proposer.agents if agent not in answered]
        return [action for agent in missing for action in resend(agent, proposer)]

    def retry_delay_us(self) -> int:
        """Draw the time until the next try, so that competing proposers do not retry in step."""
        base_us = max(MIN_RETRY_DELAY_US, min(self.pace_us, self.agree_us // MIN_TRIES))
        return round(base_us * (1 + (MAX_JITTER - 1) * next(self.draws)))

    def tick(self, now_us: int) -> list[Action]:
        """Try once more if it is time to."""
        return self.propose(now_us) if now_us >= self.next_try_us else []


def handle_reply(proposer: Proposer, agent: str, message: Message) -> list[Action]:
    """Hand an agent's reply to the proposer; return its messages and the steps that were reached."""
    phase_before = proposer.phase
    accepts_before = len(proposer.accepts)
    actions = send_to_all(proposer.agents, proposer.handle(agent, message))
    if phase_before is Phase.PREPARING and proposer.phase is Phase.ACCEPTING:
        actions = [Step("promised"), *actions, Step("accepting")]
    if not accepts_before and proposer.accepts and not proposer.finished:
        actions.append(Step("accepted"))
    return actions


def resend(agent: str, proposer: Proposer) -> list[Action]:
    """Return the current message for an agent that did not answer it, or lacked revisions before it."""
    if proposer.phase is Phase.PREPARING:
        return [SendMessage(agent, Prepare(proposer.revision, proposer.ballot))]
    if proposer.phase is Phase.ACCEPTING and proposer.chosen:
        return [SendMessage(agent, Accept(proposer.revision, proposer.ballot, proposer.chosen))]
    return []
