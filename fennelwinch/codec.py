"""What the simulator's adapter and the real front door share: settings, load reports, peers' words."""

import re
import struct
from collections.abc import Iterable, Mapping
from typing import Protocol

from fennelwinch import interface as i

EFFECTS = {
    "read_like": i.Effect.SAFE,
    "idempotency_key": i.Effect.KEYED,
    "non_idempotent": i.Effect.UNSAFE,
}
# The fields of a load report: as the wire names them, and as the servers themselves do.
REPORT_FIELDS = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "inflight": "inflight",
    "queue": "queue",
    "util": "util",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}

# What a server says of itself is not trusted: plain numbers, none below 0, and none that no server can mean.
REPORTED = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?(e[-+]?[0-9]{1,2})?", re.ASCII)
MOST_REPORTED = {"util": 2.0}  # busy cores over all; some noise may lie on it
MOST_OTHERS = 1e9

# A word between gateways; amounts in steps of 1 / UNIT.
WORD = struct.Struct("!IBHHBhhhh")
ANSWER, GRANTED, INSIDE, OUTSIDE = 1, 2, 4, 8  # flags of a word
DRAWN = {None: 0, True: INSIDE, False: OUTSIDE}
DREW = {INSIDE: True, OUTSIDE: False}
UNIT = 50
MESSAGE_BYTES = 256


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


def read_reported(name: str, text: str) -> float | None:
    """One value of a load report; one out of its range says nothing, what is no number is a ValueError."""
    if not REPORTED.fullmatch(text):
        raise ValueError(f"a load report says {name}={text:.20}")
    value = float(text)
    return value if value <= MOST_REPORTED.get(name, MOST_OTHERS) else None


def read_report(values: Iterable[tuple[str, str]]) -> i.LoadReport:
    """A load report from names and values; unknown names and absent values are skipped."""
    return i.LoadReport(**{
        REPORT_FIELDS[name]: read_reported(REPORT_FIELDS[name], value)
        for name, value in values
        if name in REPORT_FIELDS and value not in ("", "-")
    })


def pack_words(words: Iterable[i.Word]) -> list[bytes]:
    """Messages between gateways, each as long as the wire allows."""
    packed = [
        WORD.pack(
            word.customer, word.plan_index, word.set_first, word.set_size,
            word.is_answer * ANSWER | word.granted * GRANTED | DRAWN[word.inside],
            *(max(-32768, min(32767, round(amount * UNIT)))
              for amount in (word.demand, word.spent, word.asked, word.level)),
        )
        for word in words
    ]
    most = MESSAGE_BYTES // WORD.size
    return [b"".join(packed[n : n + most]) for n in range(0, len(packed), most)]


def unpack_words(data: bytes) -> tuple[i.Word, ...]:
    """The words of a message; none where it is not of this version's form."""
    if len(data) % WORD.size:
        return ()
    return tuple(
        i.Word(
            customer, plan, first, size, bool(flags & ANSWER),
            demand / UNIT, spent / UNIT, asked / UNIT, level / UNIT, bool(flags & GRANTED),
            DREW.get(flags & OUTSIDE | flags & INSIDE),
        )
        for customer, plan, first, size, flags, demand, spent, asked, level in WORD.iter_unpack(data)
    )


class Form(Protocol):
    """How words stand in datagrams."""

    def pack(self, peer: int, words: tuple[i.Word | i.LimitWord, ...]) -> list[bytes]:
        """The datagrams to a peer."""

    def unpack(self, sender: int, data: bytes) -> i.PeerMessage | None:
        """What one from a peer says; None for one that is malformed."""


class PlainForm:
    """Words on quotas alone."""

    def pack(self, peer: int, words: tuple[i.Word | i.LimitWord, ...]) -> list[bytes]:
        return pack_words(word for word in words if isinstance(word, i.Word))

    def unpack(self, sender: int, data: bytes) -> i.PeerMessage | None:
        words = unpack_words(data)
        return i.PeerMessage(sender, words) if words else None
