"""Reads the settings of a proxy, whose paths are the same in the simulator's protocol and in the
configuration file.
"""

from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from molereach.protocol.settings_reader import SettingsReader

IDEMPOTENCY_BY_NAME = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENT_WITH_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPE_BY_NAME = {scope.value: scope for scope in DeduplicationScope}
MAX_PROXIES = 0xFFFF  # gossip records hold the index of a proxy in 16 bits


def read_request_class(reader: SettingsReader, path: str) -> RequestClass:
    """Read the request class at a path such as `categories.0`; raises SettingsError.

    Idempotency has no default: a class for which it is not set must not be treated as idempotent.
    """
    return RequestClass(
        latency_objective_us=reader.integer(f"{path}.on-time-us", None, 1),
        deadline_us=reader.integer(f"{path}.deadline-us", None, 1),
        priority_weight=reader.number(f"{path}.points", 1.0),
        late_priority_weight=reader.number(f"{path}.late-worth"),
        idempotency=reader.choice(f"{path}.idempotency", IDEMPOTENCY_BY_NAME),
        deduplication_scope=reader.choice(
            f"{path}.group", DEDUPLICATION_SCOPE_BY_NAME, DeduplicationScope.ALL.value
        ),
        deduplication_window_us=reader.integer(f"{path}.window-us"),
        is_streamed=reader.flag(f"{path}.streamed"),
    )


def read_plan(reader: SettingsReader, path: str) -> Plan:
    """Read the plan at a path such as `plans.0`; raises SettingsError."""
    return Plan(
        quota_rate=reader.number(f"{path}.units-per-s"),
        quota_burst=reader.number(f"{path}.burst"),
        max_in_flight=reader.integer(f"{path}.max-out"),
        priority_factor=reader.number(f"{path}.value-factor", 1.0),
        # Both in the same unit: they are only compared with each other.
        over_quota_value=reader.number(f"{path}.extra-worth"),
        over_quota_cost=reader.number(f"{path}.overrun-cost"),
        ceiling_rate=reader.number(f"{path}.never-over-rate"),
        ceiling_burst=reader.number(f"{path}.hard-burst"),
        ceiling_slack=reader.number(f"{path}.hard-slack"),
    )


def read_settings(seed: int, reader: SettingsReader) -> Settings:
    """Read the settings of one proxy, which gets the random seed `seed`; raises SettingsError.

    Settings are read in a fixed order: if several are invalid, the error is about the first of them.
    """
    class_indexes = range(reader.integer("categories.count"))
    plan_indexes = range(reader.integer("plans.count"))
    proxy_count = reader.integer("balancers", None, 1, MAX_PROXIES)
    return Settings(
        seed=seed,
        proxy_index=reader.integer("me", None, 0, proxy_count - 1),
        proxy_count=proxy_count,
        classes=tuple(read_request_class(reader, f"categories.{index}") for index in class_indexes),
        plans=tuple(read_plan(reader, f"plans.{index}") for index in plan_indexes),
        zone=reader.integer("zone"),
        max_attempts=reader.integer("ceilings.max-attempts", 1, 1),
        # 0: rejected clients are told no delay, as is always so without `ceilings.retry-after`.
        max_retry_after_us=(
            reader.integer("ceilings.max-retry-after-us") if reader.flag("ceilings.retry-after") else 0
        ),
        may_hedge=reader.flag("ceilings.parallel-tries"),
        may_check_health=reader.flag("ceilings.may-probe"),
        may_cancel=reader.flag("ceilings.may-cancel"),
        may_gossip=reader.flag("ceilings.peers"),
        # Not used by this policy.
        may_count=reader.flag("extra.counter"),
        must_poll_endpoints=reader.text("registry-mode") == "subscribe",
        costs_are_corrected=reader.flag("extra.trued-up"),
        gossip_messages_per_s=reader.number("extra.mail-per-s"),
        cross_zone_price=reader.number("prices.cross-zone"),
        waste_price=reader.number("prices.waste"),
        late_fail_price=reader.number("prices.late-fail"),
        message_price=reader.number("prices.peer"),
        health_check_price=reader.number("prices.probe"),
        handshake_price=reader.number("prices.handshake"),
        # Half of the time after which idle connections are closed, so that those assumed open still are.
        idle_connection_ttl_us=reader.integer("ceilings.conn-idle-us", 30_000_000, 1) // 2,
        answer_grace_us=reader.integer("obligations.grace-to-answer-us"),
        # Time within which the endpoint list must be polled; 0 is no limit.
        poll_within_us=reader.integer("obligations.ask-within-us"),
        slow_start_fraction=reader.number("obligations.cold-from", 1.0, maximum=1.0),
        slow_start_window_us=reader.integer("obligations.warm-within-us"),
        # Neither of these two is read by this policy, so the defaults of 1 have no effect on it.
        overload_multiple=reader.number("obligations.fall-multiple", 1.0),
        overload_window_us=reader.integer("obligations.fall-us", 1, 1),
    )
