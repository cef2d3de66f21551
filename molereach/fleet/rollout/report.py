"""The result of a rollout, which the tool prints as text or as JSON.

The names given to `msgspec.field` are those of the JSON output, which scripts read.
"""

from enum import Enum

import msgspec

from molereach.fleet.orders import Decided


class Verdict(Enum):
    """How a rollout ended."""

    DONE = "done"  # decided, and confirmed by all agents and proxies
    PARTIAL = "partly"  # decided, but not confirmed by all
    CONFLICT = "conflict"  # another decided order prevents it
    UNREACHABLE = "unreachable"  # no majority of agents: it may or may not get decided later
    REJECTED = "refused"


class AgentReport(msgspec.Struct, frozen=True):
    """Whether an agent is known to have the order; `reason` tells why the agent could not be reached."""

    agent: str
    notified: bool = msgspec.field(name="told")
    reason: str = msgspec.field(name="why", default="")


class ProxyReport(msgspec.Struct, frozen=True):
    """What an agent last reported of one of its proxies.

    `reachability` is as in `api_bodies.Reach`, or "unknown"; `revision` is the last one that the proxy is
    known to have had; `reported_ago_ms` is the age of its last answer in milliseconds, None for never.
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

    `decided` is the order as decided; `winner` is another decided order that prevented this one.
    """

    verdict: Verdict
    order_id: str
    text: str
    decided: Decided | None = None
    winner: Decided | None = None
    agents: tuple[AgentReport, ...] = ()
    proxies: tuple[ProxyReport, ...] = msgspec.field(name="doors", default=())
