"""The settings of an instance, read from the names that the simulator's wire and the configuration share."""

from collections.abc import Mapping

from fennelwinch import interface as i

EFFECTS = {
    "read_like": i.Effect.SAFE,
    "idempotency_key": i.Effect.KEYED,
    "non_idempotent": i.Effect.UNSAFE,
}


class Pairs:
    """The settings of an instance as texts by their paths; unknown paths are never asked for."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str = "") -> str:
        value = self.values.get(path, "-")
        return default if value == "-" else value

    def number(self, path: str, default: float = 0.0) -> float:
        return float(self.text(path, str(default)))

    def whole(self, path: str, default: int = 0) -> int:
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        return self.text(path, "false") in ("true", "1")


def read_class(pairs: Pairs, at: str) -> i.RequestClass:
    return i.RequestClass(
        aim_us=pairs.whole(f"{at}.on-time-us"),
        deadline_us=pairs.whole(f"{at}.deadline-us"),
        worth=pairs.number(f"{at}.points", 1.0),
        late_worth=pairs.number(f"{at}.late-worth"),
        effect=EFFECTS[pairs.text(f"{at}.idempotency", "read_like")],
        group=i.Group(pairs.text(f"{at}.group", "all")),
        window_us=pairs.whole(f"{at}.window-us"),
        streamed=pairs.flag(f"{at}.streamed"),
    )


def read_plan(pairs: Pairs, at: str) -> i.Plan:
    return i.Plan(
        rate=pairs.number(f"{at}.units-per-s"),
        burst=pairs.number(f"{at}.burst"),
        max_out=pairs.whole(f"{at}.max-out"),
        worth_factor=pairs.number(f"{at}.value-factor", 1.0),
        over_worth=pairs.number(f"{at}.extra-worth"),
        over_cost=pairs.number(f"{at}.overrun-cost"),
        ceiling_rate=pairs.number(f"{at}.never-over-rate"),
        ceiling_burst=pairs.number(f"{at}.hard-burst"),
        ceiling_slack=pairs.number(f"{at}.hard-slack"),
    )


def read_settings(seed: int, pairs: Pairs) -> i.Settings:
    classes = range(pairs.whole("categories.count"))
    plans = range(pairs.whole("plans.count"))
    return i.Settings(
        seed=seed,
        me=pairs.whole("me"),
        gateways=pairs.whole("balancers", 1),
        classes=tuple(read_class(pairs, f"categories.{n}") for n in classes),
        plans=tuple(read_plan(pairs, f"plans.{n}") for n in plans),
        zone=pairs.whole("zone"),
        max_attempts=pairs.whole("ceilings.max-attempts", 1),
        max_retry_after_us=(
            pairs.whole("ceilings.max-retry-after-us") if pairs.flag("ceilings.retry-after") else 0
        ),
        parallel_tries=pairs.flag("ceilings.parallel-tries"),
        may_probe=pairs.flag("ceilings.may-probe"),
        may_cancel=pairs.flag("ceilings.may-cancel"),
        may_tell=pairs.flag("ceilings.peers"),
        may_count=pairs.flag("extra.counter"),
        must_subscribe=pairs.text("registry-mode") == "subscribe",
        trued_up=pairs.flag("extra.trued-up"),
        peer_messages_per_s=pairs.number("extra.mail-per-s"),
        cross_zone_price=pairs.number("prices.cross-zone"),
        waste_price=pairs.number("prices.waste"),
        late_fail_price=pairs.number("prices.late-fail"),
        message_price=pairs.number("prices.peer"),
        probe_price=pairs.number("prices.probe"),
        handshake_price=pairs.number("prices.handshake"),
        keep_us=pairs.whole("ceilings.conn-idle-us", 30_000_000) // 2,
        answer_grace_us=pairs.whole("obligations.grace-to-answer-us"),
        ask_within_us=pairs.whole("obligations.ask-within-us"),
        cold_from=pairs.number("obligations.cold-from", 1.0),
        warm_within_us=pairs.whole("obligations.warm-within-us"),
        fall_multiple=pairs.number("obligations.fall-multiple", 1.0),
        fall_us=pairs.whole("obligations.fall-us", 1),
    )
