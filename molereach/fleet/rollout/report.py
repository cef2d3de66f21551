"""The result of a rollout, which the tool prints as text or as JSON.

The names given to `msgspec.field` are those in the JSON output, which scripts read.
"""

from enum import Enum

import msgspec

from molereach.fleet.orders import Decided


class Verdict(Enum):
    """How a rollout ended."""

    DONE = "done"  # decided, and confirmed by all agents and proxies
    PARTIAL = "partly"  # decided, but not confirmed by all
    CONFLICT = "conflict"  # a decided order prevents it
    UNREACHABLE = "unreachable"  # no majority of agents responded; the order may be decided all the same
    REJECTED = "refused"


class AgentReport(msgspec.Struct, frozen=True):
    """Whether an agent is known to have the order; `reason` says why its last request failed, if it did."""

    agent: str
    notified: bool = msgspec.field(name="told")
    reason: str = msgspec.field(name="why", default="")


class ProxyReport(msgspec.Struct, frozen=True):
    """What an agent last reported of one of its proxies.

    `applied` says whether the proxy is known to have the decided revision. `reachability` is as in
    `api_bodies.Reachability`, or "unknown". `revision` is the last one that the proxy is known to have, and
    `reported_ago_ms` the age of its last response in milliseconds; None stands for never.
    """

    agent: str
    proxy: str = msgspec.field(name="door")
    applied: bool = msgspec.field(name="carried_out")
    reachability: str = msgspec.field(name="reach")
    revision: int | None
    reported_ago_ms: int | None = msgspec.field(name="heard_ago_ms")
    reason: str = msgspec.field(name="why", default="")


class Report(msgspec.Struct, frozen=True):
    """The result of a rollout, and what each agent and proxy last reported.

    `decided` is the decided order; `winner` is the decided order that prevented this one.
    """

    verdict: Verdict
    order_id: str
    text: str
    decided: Decided | None = None
    winner: Decided | None = None
    agents: tuple[AgentReport, ...] = ()
    proxies: tuple[ProxyReport, ...] = msgspec.field(name="doors", default=())
