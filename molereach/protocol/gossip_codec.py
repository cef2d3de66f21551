"""What the simulator's adapter and the real front door share: load reports and peers' words."""

import re
import struct
from collections.abc import Iterable
from typing import Protocol

from molereach.policy.interface.events import GossipReceived, LoadReport
from molereach.policy.interface.messages import GossipMessage, LimitMessage

# The fields of a load report: as the wire names them, and as the servers themselves do.
REPORT_FIELDS = {
    "busy_reqs": "in_flight",
    "pending": "queue_length",
    "cpu_share": "cpu_utilization",
    "svc_ms": "service_time_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "inflight": "in_flight",
    "queue": "queue_length",
    "util": "cpu_utilization",
    "latency_ms": "service_time_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}

# What a server says of itself is not trusted: plain numbers, none below 0, and none that no server can mean.
REPORTED = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?(e[-+]?[0-9]{1,2})?", re.ASCII)
MOST_REPORTED = {"cpu_utilization": 2.0}  # busy cores over all; some noise may lie on it
MOST_OTHERS = 1e9

# A word between gateways; amounts in steps of 1 / UNIT.
WORD = struct.Struct("!IBHHBhhhh")
ANSWER, GRANTED, INSIDE, OUTSIDE = 1, 2, 4, 8  # flags of a word
DRAWN = {None: 0, True: INSIDE, False: OUTSIDE}
DREW = {INSIDE: True, OUTSIDE: False}
UNIT = 50
MESSAGE_BYTES = 256


def read_reported(name: str, text: str) -> float | None:
    """One value of a load report; one out of its range says nothing, what is no number is a ValueError."""
    if not REPORTED.fullmatch(text):
        raise ValueError(f"a load report says {name}={text:.20}")
    value = float(text)
    return value if value <= MOST_REPORTED.get(name, MOST_OTHERS) else None


def read_report(values: Iterable[tuple[str, str]]) -> LoadReport:
    """A load report from names and values; unknown names and absent values are skipped."""
    return LoadReport(
        **{
            REPORT_FIELDS[name]: read_reported(REPORT_FIELDS[name], value)
            for name, value in values
            if name in REPORT_FIELDS and value not in ("", "-")
        }
    )


def pack_words(words: Iterable[GossipMessage]) -> list[bytes]:
    """Messages between gateways, each as long as the wire allows."""
    packed = [
        WORD.pack(
            word.customer_checksum,
            word.plan_index,
            word.set_first,
            word.set_size,
            word.is_reply * ANSWER | word.is_ceiling_granted * GRANTED | DRAWN[word.is_within_quota],
            *(
                max(-32768, min(32767, round(amount * UNIT)))
                for amount in (word.demand, word.spent_units, word.requested_units, word.tokens)
            ),
        )
        for word in words
    ]
    most = MESSAGE_BYTES // WORD.size
    return [b"".join(packed[n : n + most]) for n in range(0, len(packed), most)]


def unpack_words(data: bytes) -> tuple[GossipMessage, ...]:
    """The words of a message; none where it is not of this version's form."""
    if len(data) % WORD.size:
        return ()
    return tuple(
        GossipMessage(
            customer,
            plan,
            first,
            size,
            bool(flags & ANSWER),
            demand / UNIT,
            spent / UNIT,
            asked / UNIT,
            level / UNIT,
            bool(flags & GRANTED),
            DREW.get(flags & OUTSIDE | flags & INSIDE),
        )
        for customer, plan, first, size, flags, demand, spent, asked, level in WORD.iter_unpack(data)
    )


class Form(Protocol):
    """How words stand in datagrams."""

    def pack(self, peer: int, words: tuple[GossipMessage | LimitMessage, ...]) -> list[bytes]:
        """The datagrams to a peer."""

    def unpack(self, sender: int, data: bytes) -> GossipReceived | None:
        """What one from a peer says; None for one that is malformed."""


class PlainForm:
    """Words on quotas alone."""

    def pack(self, peer: int, words: tuple[GossipMessage | LimitMessage, ...]) -> list[bytes]:
        return pack_words(word for word in words if isinstance(word, GossipMessage))

    def unpack(self, sender: int, data: bytes) -> GossipReceived | None:
        words = unpack_words(data)
        return GossipReceived(sender, words) if words else None
