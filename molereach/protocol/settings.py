"""The settings of an instance, read from the names that the simulator's wire and the configuration share.

Every site has its own figures. What is told is checked for type and range, so that a wrong one is an error
that names its path; what is not told is taken for none where that can do no harm, and is an error elsewhere.
"""

import contextlib
import math
from collections.abc import Mapping
from typing import TypeVar

from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

Value = TypeVar("Value")

EFFECTS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENT_WITH_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
GROUPS = {group.value: group for group in DeduplicationScope}
FLAGS = {"true": True, "1": True, "false": False, "0": False}
MOST = 1e15  # of any figure: past it, sums of times are no longer whole microseconds
MOST_GATEWAYS = 0xFFFF  # as words between gateways hold their numbers


class SettingsError(ValueError):
    """A setting is missing, of the wrong type or out of its range; the text names its path first."""


class Pairs:
    """The settings of an instance by their paths; unknown paths are never asked for."""

    def __init__(self, values: Mapping[str, object], texts: bool = True, at: str = "") -> None:
        """`texts`: all values are texts, as on the wire; else a number in quotes is no number. `at` goes
        before the paths in errors."""
        self.values, self.texts, self.at = values, texts, at

    def wrong(self, path: str, value: object, reason: str) -> SettingsError:
        return SettingsError(f"{self.at}{path}: is {shown(value)}, {reason}")

    def default(self, path: str, default: Value | None) -> Value:
        if default is None:
            raise SettingsError(f"{self.at}{path}: is missing")
        return default

    def given(self, path: str) -> object:
        """The value, or None where it is absent."""
        value = self.values.get(path)
        return None if value == "-" else value

    def text(self, path: str, default: str | None = "") -> str:
        value = self.given(path)
        if value is None:
            value = self.default(path, default)
        if not isinstance(value, str):
            raise self.wrong(path, value, "which is no text")
        return value

    def number(self, path: str, default: float | None = 0.0, least: float = 0.0, most: float = MOST) -> float:
        value = self.given(path)
        if value is None:
            return self.default(path, default)
        number = math.nan
        if isinstance(value, str) == self.texts and isinstance(value, str | int | float):
            with contextlib.suppress(ValueError, OverflowError):
                number = math.nan if isinstance(value, bool) else float(value)
        if math.isnan(number):
            raise self.wrong(path, value, "which is no number")
        if not least <= number <= most:
            raise self.wrong(path, value, f"not from {least:g} to {most:g}")
        return number

    def whole(self, path: str, default: int | None = 0, least: int = 0, most: float = MOST) -> int:
        """A number of microseconds or of things; a part of one does not count."""
        return int(self.number(path, default, least, most))

    def flag(self, path: str) -> bool:
        value = self.given(path)
        found = FLAGS.get(value) if self.texts and isinstance(value, str) else value
        if value is not None and not isinstance(found, bool):
            raise self.wrong(path, value, "not true or false")
        return bool(found)

    def one_of(self, path: str, values: Mapping[str, Value], default: str | None = None) -> Value:
        text = self.text(path, default)
        if text not in values:
            raise self.wrong(path, text, f"not one of {', '.join(values)}")
        return values[text]


def shown(value: object) -> str:
    """A value as it may stand in a line on what is wrong."""
    return f"{value!r:.40}"


def read_class(pairs: Pairs, at: str) -> RequestClass:
    return RequestClass(
        latency_objective_us=pairs.whole(f"{at}.on-time-us", None, 1),
        deadline_us=pairs.whole(f"{at}.deadline-us", None, 1),
        priority_weight=pairs.number(f"{at}.points", 1.0),
        late_priority_weight=pairs.number(f"{at}.late-worth"),
        idempotency=pairs.one_of(f"{at}.idempotency", EFFECTS),  # one that is not told must not pass for safe
        deduplication_scope=pairs.one_of(f"{at}.group", GROUPS, DeduplicationScope.ALL.value),
        deduplication_window_us=pairs.whole(f"{at}.window-us"),
        is_streamed=pairs.flag(f"{at}.streamed"),
    )


def read_plan(pairs: Pairs, at: str) -> Plan:
    return Plan(
        quota_rate=pairs.number(f"{at}.units-per-s"),
        quota_burst=pairs.number(f"{at}.burst"),
        max_in_flight=pairs.whole(f"{at}.max-out"),
        priority_factor=pairs.number(f"{at}.value-factor", 1.0),
        over_quota_value=pairs.number(f"{at}.extra-worth"),
        over_quota_cost=pairs.number(f"{at}.overrun-cost"),
        ceiling_rate=pairs.number(f"{at}.never-over-rate"),
        ceiling_burst=pairs.number(f"{at}.hard-burst"),
        ceiling_slack=pairs.number(f"{at}.hard-slack"),
    )


def read_settings(seed: int, pairs: Pairs) -> Settings:
    classes = range(pairs.whole("categories.count"))
    plans = range(pairs.whole("plans.count"))
    gateways = pairs.whole("balancers", None, 1, MOST_GATEWAYS)
    return Settings(
        seed=seed,
        proxy_index=pairs.whole("me", None, 0, gateways - 1),
        proxy_count=gateways,
        classes=tuple(read_class(pairs, f"categories.{n}") for n in classes),
        plans=tuple(read_plan(pairs, f"plans.{n}") for n in plans),
        zone=pairs.whole("zone"),
        max_attempts=pairs.whole("ceilings.max-attempts", 1, 1),
        max_retry_after_us=(
            pairs.whole("ceilings.max-retry-after-us") if pairs.flag("ceilings.retry-after") else 0
        ),
        may_hedge=pairs.flag("ceilings.parallel-tries"),
        may_check_health=pairs.flag("ceilings.may-probe"),
        may_cancel=pairs.flag("ceilings.may-cancel"),
        may_gossip=pairs.flag("ceilings.peers"),
        may_count=pairs.flag("extra.counter"),
        must_subscribe=pairs.text("registry-mode") == "subscribe",
        costs_are_corrected=pairs.flag("extra.trued-up"),
        gossip_messages_per_s=pairs.number("extra.mail-per-s"),
        cross_zone_price=pairs.number("prices.cross-zone"),
        waste_price=pairs.number("prices.waste"),
        late_fail_price=pairs.number("prices.late-fail"),
        message_price=pairs.number("prices.peer"),
        health_check_price=pairs.number("prices.probe"),
        handshake_price=pairs.number("prices.handshake"),
        idle_connection_ttl_us=pairs.whole("ceilings.conn-idle-us", 30_000_000, 1) // 2,
        answer_grace_us=pairs.whole("obligations.grace-to-answer-us"),
        poll_within_us=pairs.whole("obligations.ask-within-us"),
        slow_start_fraction=pairs.number("obligations.cold-from", 1.0, most=1.0),
        slow_start_window_us=pairs.whole("obligations.warm-within-us"),
        overload_multiple=pairs.number("obligations.fall-multiple", 1.0),
        overload_window_us=pairs.whole("obligations.fall-us", 1, 1),
    )
