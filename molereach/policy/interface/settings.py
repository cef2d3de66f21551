"""Settings of a gateway, passed when it starts. All times are whole microseconds."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether requests of a class may be executed more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which backends recognize and drop duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its time limits, its priority and whether it may be repeated."""

    latency_objective_us: int  # an answer within this time is on time
    deadline_us: int  # the client stops waiting after this time
    priority_weight: float = 1.0  # value per unit of an answer on time
    late_priority_weight: float = 0.0  # value per unit of an answer after the objective
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0  # how long backends remember a key
    is_streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """Limits of each customer of a plan, across all gateways, in units and seconds; 0 means no limit."""

    quota_rate: float = 0.0  # units per second
    quota_burst: float = 0.0  # units
    max_in_flight: int = 0  # concurrent attempts
    priority_factor: float = 1.0
    over_quota_value: float = 0.0  # value of a request beyond the quota
    over_quota_cost: float = 0.0  # such a request is forwarded only if its value is higher than this
    ceiling_rate: float = 0.0  # units per second
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units by which the ceiling may be exceeded


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a gateway; prices are relative to the value of one request."""

    seed: int  # of the gateway's random number generator
    proxy_index: int  # index of this gateway, from 0
    proxy_count: int  # number of gateways
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    max_attempts: int = 1  # per request
    max_retry_after_us: int = 0  # retry delay that a rejected client is told
    may_hedge: bool = False  # not used by this policy
    may_check_health: bool = False  # not used by this policy
    may_cancel: bool = False
    may_gossip: bool = False
    may_count: bool = False  # not used by this policy
    must_poll_endpoints: bool = False  # `registry-mode` is `subscribe`: changes need a subscription
    costs_are_corrected: bool = False  # quotas are charged the units that answers report
    gossip_messages_per_s: float = 0.0  # receive capacity of one gateway
    cross_zone_price: float = 0.0  # of an attempt in another zone
    waste_price: float = 0.0  # of an attempt whose answer is discarded; not used by this policy
    late_fail_price: float = 0.0  # of a failure after the objective; not used by this policy
    message_price: float = 0.0  # of a gossip message; not used by this policy
    health_check_price: float = 0.0  # of a health check; not used by this policy
    handshake_price: float = 0.0  # of a new connection
    idle_connection_ttl_us: int = 0  # how long an idle connection is assumed open; backends close it later
    answer_grace_us: int = 0  # time that an answer may take to reach the client; not used by this policy
    poll_within_us: int = 0  # time within which the endpoint list must be polled
    slow_start_fraction: float = 1.0  # fraction of its full capacity that a backend has at its start
    slow_start_window_us: int = 0  # time after which it has its full capacity
    # A backend in slow start fails when it receives more than this multiple of its current capacity within
    # the window.
    overload_multiple: float = 1.0
    overload_window_us: int = 1
