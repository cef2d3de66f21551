"""What a gateway is told at start. All times are whole microseconds."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a class of requests may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its times, its worth and whether it may be repeated."""

    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Idempotency = Idempotency.SAFE
    group: DeduplicationScope = DeduplicationScope.ALL
    window_us: int = 0
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling, which hold for each customer over all gateways; 0 means none."""

    rate: float = 0.0
    burst: float = 0.0
    max_out: int = 0
    worth_factor: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at start."""

    seed: int
    me: int
    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    max_attempts: int = 1
    max_retry_after_us: int = 0
    parallel_tries: bool = False
    may_probe: bool = False
    may_cancel: bool = False
    may_tell: bool = False
    may_count: bool = False
    must_subscribe: bool = False
    trued_up: bool = False
    peer_messages_per_s: float = 0.0
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    late_fail_price: float = 0.0
    message_price: float = 0.0
    probe_price: float = 0.0
    handshake_price: float = 0.0
    keep_us: int = 0
    answer_grace_us: int = 0
    ask_within_us: int = 0
    cold_from: float = 1.0
    warm_within_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 1
