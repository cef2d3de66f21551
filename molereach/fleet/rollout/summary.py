"""The result of a rollout as far as it is known at one time.

It states only what agents have reported, of themselves and of their proxies.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from molereach.fleet.agreement import Phase, Proposer
from molereach.fleet.api_bodies import ProxyStatus
from molereach.fleet.orders import Decided
from molereach.fleet.rollout.observations import Observations
from molereach.fleet.rollout.report import AgentReport, ProxyReport, Verdict

US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class Summary:
    """What is known at `now_us`; `target_revision` is the revision that agents and proxies are to confirm."""

    agents: tuple[str, ...]
    observations: Observations
    proposer: Proposer | None
    decided: Decided | None
    target_revision: int
    now_us: int

    @property
    def majority(self) -> int:
        """The number of agents that must agree."""
        return len(self.agents) // 2 + 1

    def notified_count(self) -> int:
        """Return the number of agents known to have the target revision."""
        return self.observations.notified_count(self.target_revision)

    def describe_notified(self) -> str:
        """Return in one line how many agents are known to have the target revision."""
        return f"only {self.notified_count()} of {len(self.agents)} agents have said that they know it"

    def verdict(self) -> tuple[Verdict, str]:
        """Return the verdict and its text, once all have confirmed or the deadline has passed."""
        if self.decided is None:
            return Verdict.UNREACHABLE, self.describe_undecided()
        order = self.decided.order
        decision = f"{order.verb.value} {order.subject} stands at revision {self.decided.revision}"
        if self.notified_count() < self.majority:
            return Verdict.UNREACHABLE, f"{decision}; {self.describe_notified()}"
        unconfirmed = [report.proxy for report in self.proxy_reports() if not self.is_confirmed(report)]
        if not unconfirmed and self.notified_count() == len(self.agents):
            return Verdict.DONE, decision
        unnotified = [report.agent for report in self.agent_reports() if not report.notified]
        clauses = [
            decision,
            *(f"front door {name} has not said that it has it" for name in unconfirmed),
            *(f"agent {name} has not said that it knows it" for name in unnotified),
        ]
        return Verdict.PARTIAL, "; ".join(clauses)

    def is_confirmed(self, report: ProxyReport) -> bool:
        """Return whether a proxy has the order, or has ended while others that have it serve."""
        if report.reachability == "ended":
            return self.observations.any_proxy_serves(self.target_revision)
        return report.applied

    def describe_undecided(self) -> str:
        """Return in one line why no majority is known to have accepted the order."""
        responded_count = len(self.agents) - len(self.observations.failures)
        text = f"{responded_count} of {len(self.agents)} agents answered, {self.majority} must agree"
        if self.proposer and self.proposer.phase is Phase.ACCEPTING:
            text += f"; {len(self.proposer.accepted_by)} said that they accepted it: it may yet come to stand"
        return text

    def agent_reports(self) -> Iterator[AgentReport]:
        """Yield what is known of each agent."""
        for agent in self.agents:
            snapshot = self.observations.snapshots.get(agent)
            notified = bool(
                self.decided and snapshot and snapshot.order_state.revision >= self.decided.revision
            )
            yield AgentReport(agent, notified, self.observations.failures.get(agent, ""))

    def proxy_reports(self) -> Iterator[ProxyReport]:
        """Yield what is known of each proxy, including those that only the fleet's file lists."""
        for agent in self.agents:
            snapshot = self.observations.snapshots.get(agent)
            proxies = snapshot.status.proxies if snapshot else ()
            yield from (self.proxy_report(agent, proxy) for proxy in proxies)
            reason = "its agent does not answer" if snapshot is None else "its agent has never seen it"
            reported = {proxy.name for proxy in proxies}
            for name in self.observations.expected_proxies.get(agent, ()):
                if name not in reported:
                    yield ProxyReport(agent, name, False, "unknown", None, None, reason)

    def proxy_report(self, agent: str, proxy: ProxyStatus) -> ProxyReport:
        """Return what an agent's snapshot says of one proxy, with ages as of `now_us`."""
        applied = bool(self.decided and proxy.state and proxy.revision >= self.decided.revision)
        revision = proxy.revision if proxy.state else None
        snapshot_age_ms = (self.now_us - self.observations.received_us[agent]) // US_PER_MS
        reported_ago_ms = None if proxy.reported_ago_ms is None else proxy.reported_ago_ms + snapshot_age_ms
        return ProxyReport(
            agent, proxy.name, applied, proxy.reachability, revision, reported_ago_ms, proxy.reason
        )
