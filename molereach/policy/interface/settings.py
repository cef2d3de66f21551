"""What a gateway is told at start. All times are whole microseconds."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a class of requests may run more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its times, its worth and whether it may be repeated."""

    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    is_streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling, which hold for each customer over all gateways; 0 means none."""

    quota_rate: float = 0.0
    quota_burst: float = 0.0
    max_in_flight: int = 0
    priority_factor: float = 1.0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at start."""

    seed: int
    proxy_index: int
    proxy_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    max_attempts: int = 1
    max_retry_after_us: int = 0
    may_hedge: bool = False
    may_check_health: bool = False
    may_cancel: bool = False
    may_gossip: bool = False
    may_count: bool = False
    must_subscribe: bool = False
    costs_are_corrected: bool = False
    gossip_messages_per_s: float = 0.0
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    late_fail_price: float = 0.0
    message_price: float = 0.0
    health_check_price: float = 0.0
    handshake_price: float = 0.0
    idle_connection_ttl_us: int = 0
    answer_grace_us: int = 0
    poll_within_us: int = 0
    slow_start_fraction: float = 1.0
    slow_start_window_us: int = 0
    overload_multiple: float = 1.0
    overload_window_us: int = 1
