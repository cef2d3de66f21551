"""Settings of a gateway, given at its start. All times are whole microseconds."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a class of requests may run more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop the duplicates of a request with a key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its times, its priority and whether it may be repeated."""

    latency_objective_us: int  # an answer is on time until then
    deadline_us: int  # the client gives up then
    priority_weight: float = 1.0  # value of an answer on time, per unit
    late_priority_weight: float = 0.0  # value of a later one
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0  # for how long backends know a key
    is_streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling for each customer over all gateways, in units and seconds; 0: none."""

    quota_rate: float = 0.0  # units per second
    quota_burst: float = 0.0  # units
    max_in_flight: int = 0  # attempts
    priority_factor: float = 1.0
    over_quota_value: float = 0.0  # of a request beyond the quota
    over_quota_cost: float = 0.0  # a request beyond the quota is forwarded if its value is higher
    ceiling_rate: float = 0.0  # units per second
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units beyond the ceiling that are tolerated


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings; prices are relative to the value of a request."""

    seed: int  # of the gateway's random source
    proxy_index: int  # this gateway's number
    proxy_count: int  # gateways
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    max_attempts: int = 1  # for each request
    max_retry_after_us: int = 0  # what a rejected client is told to wait
    may_hedge: bool = False  # not used by this policy
    may_check_health: bool = False  # not used by this policy
    may_cancel: bool = False
    may_gossip: bool = False
    may_count: bool = False  # not used by this policy
    must_poll_endpoints: bool = False  # `registry-mode` is `subscribe`: the list is not sent unasked
    costs_are_corrected: bool = False  # by the units that answers report
    gossip_messages_per_s: float = 0.0  # that one gateway can receive
    cross_zone_price: float = 0.0  # of an attempt in another zone
    waste_price: float = 0.0  # of an attempt whose answer is not used; not used by this policy
    late_fail_price: float = 0.0  # of a failure after the objective; not used by this policy
    message_price: float = 0.0  # of a gossip message; not used by this policy
    health_check_price: float = 0.0  # of a health check; not used by this policy
    handshake_price: float = 0.0  # of a new connection
    idle_connection_ttl_us: int = 0  # for which an idle connection counts as open; backends close it later
    answer_grace_us: int = 0  # that an answer may take to the client; not used by this policy
    poll_within_us: int = 0  # within which the endpoint list is to be polled
    slow_start_fraction: float = 1.0  # of its capacity, that a backend has at its start
    slow_start_window_us: int = 0  # until it has all of it
    overload_multiple: float = 1.0  # of its present capacity: a backend in slow start that gets more fails,
    overload_window_us: int = 1  # over that time
