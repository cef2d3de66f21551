"""The stages of a rollout, as a state machine without I/O.

A rollout requests the snapshots of all agents, validates the order against the newest replicated state,
obtains acceptance by a majority of agents, sends the decided order to every agent, and waits until all
proxies have confirmed the revision or a timeout expires. The tool may be killed at any point: an order keeps
its id, so a second rollout with this id either finds the order decided or completes it.
"""

from collections.abc import Iterator, Mapping
from enum import Enum

from molereach.fleet.agreement import Behind, Known, Message, Phase
from molereach.fleet.api_bodies import AgentSnapshot
from molereach.fleet.orders import Decided
from molereach.fleet.rollout import events
from molereach.fleet.rollout.ballots import Ballots, handle_reply, resend
from molereach.fleet.rollout.observations import Observations
from molereach.fleet.rollout.report import Report, Verdict
from molereach.fleet.rollout.summary import Summary
from molereach.fleet.rollout.validation import Rejection, Validation

SNAPSHOT_TIMEOUT_US = 1_000_000  # after this, the snapshots of a majority suffice
POLL_INTERVAL_US = 50_000  # between requests for the snapshots of agents that have not confirmed
TICK_INTERVAL_US = 10_000  # between `Tick` events from the caller
US_PER_MS = 1000


class Stage(Enum):
    """The stages of a rollout, in order."""

    OBSERVING = "observing"
    PROPOSING = "proposing"
    NOTIFYING = "notifying"
    FINISHED = "finished"


class Rollout:
    """Rolls out one order.

    `run_id` identifies this run of the tool among all proposers and is never reused. `random_values` yields
    numbers from 0 to 1. `started_unix_ms` is Unix time at the start; elapsed time by the monotonic clock is
    added to it, so that a step of the system clock has no effect. `floor` is the number of ready servers that
    a drain must leave in each building. `expected_proxies` holds the names of each agent's proxies, if the
    fleet's file lists them.
    """

    def __init__(
        self,
        agents: tuple[str, ...],
        draft: events.Draft,
        run_id: str,
        random_values: Iterator[float],
        started_unix_ms: int,
        floor: int = 1,
        timeouts: events.Timeouts | None = None,
        expected_proxies: Mapping[str, tuple[str, ...]] | None = None,
    ) -> None:
        """Create a rollout to `agents`; `begin` starts it."""
        self.agents = agents
        self.draft = draft
        self.timeouts = timeouts or events.Timeouts()
        self.started_unix_ms = started_unix_ms
        self.observations = Observations(expected_proxies or {})
        self.validation = Validation(draft, floor)
        self.ballots = Ballots(run_id, random_values, self.timeouts.agree_us)
        self.stage = Stage.OBSERVING
        self.started_us = 0
        self.now_us = 0
        self.stage_deadline_us = 0
        self.next_poll_us = 0
        self.target_revision = 0  # the revision that agents and proxies are to confirm
        self.decided: Decided | None = None
        self.rejection: Rejection | None = None  # to be reported once a majority has the winner
        self.report: Report | None = None

    @property
    def majority(self) -> int:
        """The number of agents that must agree."""
        return len(self.agents) // 2 + 1

    def begin(self, now_us: int) -> list[events.Action]:
        """Start the rollout; times are those of the monotonic clock.

        The caller then passes each event to `handle`, and a `Tick` every `TICK_INTERVAL_US`, until `report`
        is set.
        """
        self.started_us = now_us
        self.now_us = now_us
        self.stage_deadline_us = now_us + self.timeouts.agree_us
        self.next_poll_us = now_us + SNAPSHOT_TIMEOUT_US
        return [events.Step("looking"), *self.observations.request_snapshots(self.agents)]

    def handle(self, now_us: int, event: events.Event) -> list[events.Action]:
        """Handle one event; return the actions to carry out, in order."""
        self.now_us = now_us
        if self.stage is Stage.FINISHED or getattr(event, "agent", self.agents[0]) not in self.agents:
            return []
        match event:
            case events.SnapshotReceived():
                return self.on_snapshot(now_us, event.agent, event.snapshot)
            case events.ReplyReceived():
                self.observations.record_reply(event.agent)
                return self.on_reply(now_us, event.agent, event.message)
            case events.RequestFailed():
                self.observations.record_failure(event.agent, event.reason, event.snapshot_requested)
                return self.validate_when_observed(now_us) if self.stage is Stage.OBSERVING else []
            case events.Tick():
                return self.on_tick(now_us)

    # --- observing ---

    def on_snapshot(self, now_us: int, agent: str, snapshot: AgentSnapshot) -> list[events.Action]:
        """Store an agent's snapshot; continue if the stage needs no further one."""
        status = snapshot.status
        if sorted(status.fleet) != sorted(self.agents) or status.agent != agent:
            # Agents of another fleet must not count towards a majority of this fleet.
            members = ", ".join(sorted(status.fleet))
            text = f"agent {agent} is '{status.agent}' of the fleet {members}: not the fleet of this file"
            return self.finish(Verdict.REJECTED, text)
        self.observations.record_snapshot(now_us, agent, snapshot)
        if self.stage is Stage.OBSERVING:
            if len(self.observations.snapshots) == self.majority:
                self.ballots.record_majority_time(now_us - self.started_us)
            return self.validate_when_observed(now_us)
        return self.on_confirmation(agent, snapshot) if self.stage is Stage.NOTIFYING else []

    def validate_when_observed(self, now_us: int) -> list[events.Action]:
        """Validate once no request is pending or the timeout is over, provided a majority has responded."""
        waited_enough = now_us >= self.next_poll_us or not self.observations.pending
        if waited_enough and len(self.observations.snapshots) >= self.majority:
            return self.validate(now_us)
        return []

    def validate(self, now_us: int) -> list[events.Action]:
        """Validate the order against the newest state; propose it if nothing prevents it."""
        unix_ms = self.started_unix_ms + (now_us - self.started_us) // US_PER_MS
        self.validation.adopt(self.observations.snapshots)
        result = self.validation.validate(unix_ms, self.observations.ready_servers())
        if isinstance(result, Rejection):
            return self.reject(now_us, result)
        if isinstance(result, Decided):
            if text := self.validation.describe_id_reuse(result):
                return self.finish(Verdict.REJECTED, text, result)
            return self.on_decided(now_us, result)
        order = self.validation.build_order()
        if not order.forced and (text := self.observations.describe_unknown_subject(order)):
            return self.finish(Verdict.REJECTED, text)
        self.stage = Stage.PROPOSING
        self.ballots.start(self.agents, order, self.validation.order_state.revision + 1)
        return [events.Step("judged"), *self.ballots.propose(now_us)]

    def reject(self, now_us: int, rejection: Rejection) -> list[events.Action]:
        """End with a rejection; after a proposal, send the newest state to the agents first.

        The ballots of this run may have decided the winner, and no agent may know of that yet.
        """
        if self.ballots.proposer is None:
            return self.finish(rejection.verdict, rejection.text, rejection.winner)
        self.rejection = rejection
        return self.notify_all(now_us)

    # --- proposing ---

    def on_reply(self, now_us: int, agent: str, message: Message) -> list[events.Action]:
        """Handle an agent's reply to an agreement message."""
        proposer = self.ballots.proposer
        if self.stage is not Stage.PROPOSING or proposer is None:
            return []
        if isinstance(message, Behind):
            return [self.send_state(agent), *resend(agent, proposer)]
        actions = handle_reply(proposer, agent, message)
        if not proposer.finished:
            return actions
        # The outcome must be in the state before that is used for validation or sent to agents.
        self.validation.record_decided(proposer.outcome)
        if proposer.later_state:
            self.validation.order_state.adopt(proposer.later_state)
        if proposer.phase is Phase.DONE and proposer.outcome:
            notifications = self.on_decided(now_us, proposer.outcome)
            return [events.Step("decided"), *actions, events.Step("told"), *notifications]
        return [*actions, *self.validate(now_us)]

    def send_state(self, agent: str) -> events.SendMessage:
        """Return the action that sends an agent the whole replicated state."""
        return events.SendMessage(agent, Known(base=self.validation.order_state.to_record()))

    # --- notifying ---

    def on_decided(self, now_us: int, decided: Decided) -> list[events.Action]:
        """Send the decided order to all agents, and start waiting for confirmations."""
        self.decided = decided
        return [events.Step("confirming"), *self.notify_all(now_us, decided.revision)]

    def notify_all(self, now_us: int, revision: int | None = None) -> list[events.Action]:
        """Send the state to all agents and wait until they have `revision`, by default the newest one.

        Drops earlier snapshots, so that only confirmations received from now on count.
        """
        self.stage = Stage.NOTIFYING
        self.target_revision = revision or self.validation.order_state.revision
        self.stage_deadline_us = now_us + self.timeouts.confirm_us
        self.next_poll_us = now_us
        self.observations.clear_snapshots()
        messages = [self.send_state(agent) for agent in self.agents]
        return [*messages, *self.on_tick(now_us)]

    def on_confirmation(self, agent: str, snapshot: AgentSnapshot) -> list[events.Action]:
        """Finish if this snapshot was the last one needed; send the state again to an agent that lacks it."""
        if snapshot.order_state.revision < self.target_revision:
            return [self.send_state(agent)]
        if self.rejection:
            if self.observations.notified_count(self.target_revision) >= self.majority:
                return self.finish(self.rejection.verdict, self.rejection.text, self.rejection.winner)
            return []
        if self.unconfirmed_agents():
            return []
        return self.finish(*self.summary().verdict())

    def unconfirmed_agents(self) -> tuple[str, ...]:
        """Return the agents that, with all their proxies, have not confirmed the target revision."""
        return tuple(
            agent for agent in self.agents if not self.observations.confirmed(agent, self.target_revision)
        )

    # --- time and the end ---

    def on_tick(self, now_us: int) -> list[events.Action]:
        """End the stage if its deadline has passed; otherwise send the retries or polls that are due."""
        if now_us >= self.stage_deadline_us:
            return self.on_deadline()
        match self.stage:
            case Stage.OBSERVING:
                return self.validate_when_observed(now_us) or self.retry_failed_agents(now_us)
            case Stage.PROPOSING:
                return self.ballots.tick(now_us)
            case _:
                return self.poll_unconfirmed(now_us)

    def on_deadline(self) -> list[events.Action]:
        """Finish with what is known at the deadline of a stage."""
        if self.rejection:
            text = f"{self.rejection.text}; {self.summary().describe_notified()}"
            return self.finish(self.rejection.verdict, text, self.rejection.winner)
        return self.finish(*self.summary().verdict())

    def retry_failed_agents(self, now_us: int) -> list[events.Action]:
        """Request the snapshots of agents whose request failed, once the snapshot timeout is over."""
        if now_us < self.next_poll_us:
            return []
        return self.observations.request_snapshots(self.observations.unobserved_agents())

    def poll_unconfirmed(self, now_us: int) -> list[events.Action]:
        """Request the snapshots of agents that have not confirmed, if the next poll is due."""
        if now_us < self.next_poll_us:
            return []
        self.next_poll_us = now_us + POLL_INTERVAL_US
        return self.observations.request_snapshots(self.unconfirmed_agents())

    def summary(self) -> Summary:
        """Return the summary of what is known now."""
        return Summary(
            self.agents,
            self.observations,
            self.ballots.proposer,
            self.decided,
            self.target_revision,
            self.now_us,
        )

    def finish(self, verdict: Verdict, text: str, winner: Decided | None = None) -> list[events.Action]:
        """Set the report and end the rollout."""
        self.stage = Stage.FINISHED
        if winner is None and self.decided and self.draft.id != self.decided.order.id:
            winner = self.decided
        summary = self.summary()
        self.report = Report(
            verdict,
            self.draft.id,
            text,
            self.decided,
            winner,
            tuple(summary.agent_reports()),
            tuple(summary.proxy_reports()),
        )
        return [events.Step("reported")]
