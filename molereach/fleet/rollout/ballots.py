"""Obtains a majority's acceptance of an order, and schedules the retries of its ballots."""

from collections.abc import Iterator
from dataclasses import dataclass

from molereach.fleet.agreement import Accept, Message, Phase, Prepare, Proposer
from molereach.fleet.orders import Order
from molereach.fleet.rollout.events import Action, SendMessage, Step, send_to_all

MIN_RETRY_DELAY_US = 150_000  # the lower limit of the base delay
MAX_JITTER = 3  # each delay is drawn between the base delay and MAX_JITTER times that
# Base delay over the time in which a majority of agents responded, since a large fleet responds slowly.
RETRY_DELAY_FACTOR = 3
MIN_TRIES = 20  # the upper limit of the base delay is `agree_us` divided by this


@dataclass(slots=True)
class Ballots:
    """The ballots of one run of the tool.

    `run_id` identifies the run among all proposers, `random_values` yields numbers from 0 to 1, and
    `agree_us` is the time for reaching agreement, in microseconds.
    """

    run_id: str
    random_values: Iterator[float]
    agree_us: int
    preferred_delay_us: int = 0
    next_try_us: int = 0
    proposer: Proposer | None = None

    def record_majority_time(self, elapsed_us: int) -> None:
        """Adapt the retry delay to the time in which a majority of agents responded."""
        self.preferred_delay_us = RETRY_DELAY_FACTOR * elapsed_us

    def start(self, agents: tuple[str, ...], order: Order, revision: int) -> None:
        """Prepare to propose `order` at `revision`; `propose` returns the messages."""
        self.proposer = Proposer(self.run_id, agents, order, revision)
        self.next_try_us = 0

    def propose(self, now_us: int) -> list[Action]:
        """Return the messages of the next try, and schedule the try after it.

        Agents that have not responded are sent the current ballot again; a higher ballot is sent to all
        agents only after an `Outbid`. A new ballot for each try would invalidate replies of a large fleet
        that are still in flight.
        """
        proposer = self.proposer
        assert proposer is not None
        first_try = not self.next_try_us
        self.next_try_us = now_us + self.retry_delay_us()
        if first_try or proposer.highest_promised >= proposer.ballot.number:
            return send_to_all(proposer.agents, proposer.begin())
        responded = proposer.promises if proposer.phase is Phase.PREPARING else proposer.accepted_by
        unresponsive = [agent for agent in proposer.agents if agent not in responded]
        return [action for agent in unresponsive for action in resend(agent, proposer)]

    def retry_delay_us(self) -> int:
        """Draw the delay until the next try at random, so that competing proposers do not retry in step."""
        base_us = max(MIN_RETRY_DELAY_US, min(self.preferred_delay_us, self.agree_us // MIN_TRIES))
        return round(base_us * (1 + (MAX_JITTER - 1) * next(self.random_values)))

    def tick(self, now_us: int) -> list[Action]:
        """Try again if the next try is due."""
        return self.propose(now_us) if now_us >= self.next_try_us else []


def handle_reply(proposer: Proposer, agent: str, message: Message) -> list[Action]:
    """Pass an agent's reply to the proposer; return its messages and the steps that it reached."""
    phase_before = proposer.phase
    accepted_count_before = len(proposer.accepted_by)
    actions = send_to_all(proposer.agents, proposer.handle(agent, message))
    if phase_before is Phase.PREPARING and proposer.phase is Phase.ACCEPTING:
        actions = [Step("promised"), *actions, Step("accepting")]
    if not accepted_count_before and proposer.accepted_by and not proposer.finished:
        actions.append(Step("accepted"))
    return actions


def resend(agent: str, proposer: Proposer) -> list[Action]:
    """Return the current message for an agent that did not respond, or lacked earlier revisions."""
    if proposer.phase is Phase.PREPARING:
        return [SendMessage(agent, Prepare(proposer.revision, proposer.ballot))]
    if proposer.phase is Phase.ACCEPTING and proposer.proposed:
        return [SendMessage(agent, Accept(proposer.revision, proposer.ballot, proposer.proposed))]
    return []
