"""Limits' words on the wire: datagrams of at most 256 bytes, beside those of the last version.

Layout, in network byte order: magic (1 byte), version (1), the sender's generation (2), whether it has
heard the receiver of late (1), records, and where a key is set a tag of 8 bytes (BLAKE2b, RFC 7693,
keyed; over the sender's number and all that stands before it). A record is its kind (1 byte) and its
fields. The length is never a multiple of that of a word of the last version, so a front door of that
version drops it, and what is a multiple is one of its own. A core.
"""

import hashlib
import hmac
import struct
from collections.abc import Callable, Sequence

from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import (
    CustomerKey,
    GossipMessage,
    Join,
    JoinAcknowledged,
    Leave,
    LimitMessage,
    LoanGrant,
    LoanRequest,
    SpendingTotal,
)
from molereach.protocol.gossip_codec import (
    MAX_DATAGRAM_BYTES,
    RECORD,
    STEPS_PER_UNIT,
    pack_messages,
    unpack_messages,
)

MAGIC, VERSION = 0xB7, 1
HEADER = struct.Struct("!BBHB")
TAG_BYTES = 8
PAD = 0
MOST_UNITS, MOST_SHARE = 0x7FFFFFFF / STEPS_PER_UNIT, 10_000

_KEY = "IBHH"  # as in a word
ASK = struct.Struct(f"!B{_KEY}IIHHI")
GRANT = struct.Struct(f"!B{_KEY}IHI")
HELLO = struct.Struct("!B")
CLEAR = struct.Struct("!BHH")
TOTAL = struct.Struct(f"!B{_KEY}II")
PLAIN = struct.Struct("!B" + RECORD.format.lstrip("!"))

Words = Sequence[GossipMessage | LimitMessage]


def units(amount: float) -> int:
    """Units in steps; never more than there are, but for what binary fractions make of a step."""
    return int(round(max(0.0, min(MOST_UNITS, amount)) * STEPS_PER_UNIT, 6))


def steps(amount: float) -> int:
    return max(-32768, min(32767, round(amount * STEPS_PER_UNIT)))


def pack_record(word: GossipMessage | LimitMessage) -> bytes:
    match word:
        case GossipMessage():
            key = word.customer_checksum, word.plan_index, word.set_first, word.set_size
            return PLAIN.pack(
                1,
                *key,
                word.is_reply,
                *map(steps, (word.demand, word.spent_units, word.requested_units, word.tokens)),
            )
        case LoanRequest(key, number, accepted, held, wanted, returned):
            return ASK.pack(2, *key, number, accepted, held, wanted, units(returned))
        case LoanGrant(key, number, share, amount):
            return GRANT.pack(3, *key, number, share, units(amount))
        case Join():
            return HELLO.pack(4)
        case JoinAcknowledged(generation, totals):
            return CLEAR.pack(5, generation, min(totals, 0xFFFF))
        case SpendingTotal(key, spent, left):
            return TOTAL.pack(6, *key, units(spent), units(left))
        case Leave():
            return HELLO.pack(7)


def plain(values: tuple[int, ...]) -> GossipMessage:
    customer, plan, first, size, answer, demand, spent, asked, level = values
    return GossipMessage(
        customer,
        plan,
        first,
        size,
        bool(answer),
        demand / STEPS_PER_UNIT,
        spent / STEPS_PER_UNIT,
        asked / STEPS_PER_UNIT,
        level / STEPS_PER_UNIT,
    )


def ask(values: tuple[int, ...]) -> LoanRequest:
    *key, number, accepted, held, wanted, returned = values
    if max(held, wanted) > MOST_SHARE:
        raise ValueError("a share above the whole")
    return LoanRequest(CustomerKey(*key), number, accepted, held, wanted, returned / STEPS_PER_UNIT)


def grant(values: tuple[int, ...]) -> LoanGrant:
    *key, number, share, amount = values
    if share > MOST_SHARE:
        raise ValueError("a share above the whole")
    return LoanGrant(CustomerKey(*key), number, share, amount / STEPS_PER_UNIT)


def total(values: tuple[int, ...]) -> SpendingTotal:
    *key, spent, left = values
    return SpendingTotal(CustomerKey(*key), spent / STEPS_PER_UNIT, left / STEPS_PER_UNIT)


Read = Callable[[tuple[int, ...]], "GossipMessage | LimitMessage"]
READ: dict[int, tuple[struct.Struct, Read]] = {
    1: (PLAIN, plain),
    2: (ASK, ask),
    3: (GRANT, grant),
    4: (HELLO, lambda values: Join()),
    5: (CLEAR, lambda values: JoinAcknowledged(values[0], values[1])),
    6: (TOTAL, total),
    7: (HELLO, lambda values: Leave()),
}


class LimitGossipCodec:
    """Datagrams of one front door: its number, generation and, where the network is not trusted, a key.

    `speaks` tells whether a peer is known to read this form; until then it is told as by the last version.
    `hears` tells whether a peer has been heard of late, which it is told: some links work one way.
    """

    def __init__(
        self,
        me: int,
        generation: int,
        speaks: Callable[[int], bool] = lambda peer: True,
        key: bytes = b"",
        hears: Callable[[int], bool] = lambda peer: True,
    ) -> None:
        self.proxy_index, self.incarnation, self.key, self.understands, self.receives_from = (
            me,
            generation,
            key,
            speaks,
            hears,
        )
        self.max_body_bytes = (
            MAX_DATAGRAM_BYTES - HEADER.size - (TAG_BYTES if key else 0) - 1
        )  # the last: for a pad

    def authentication_tag(self, sender: int, data: bytes) -> bytes:
        return hashlib.blake2b(sender.to_bytes(2, "big") + data, digest_size=TAG_BYTES, key=self.key).digest()

    def pack(self, peer: int, words: Words) -> list[bytes]:
        """Datagrams with the words, and one in any case."""
        plain_form = not self.key and not self.understands(peer)
        packed = pack_messages(word for word in words if plain_form and isinstance(word, GossipMessage))
        body = b""
        for word in words:
            if plain_form and isinstance(word, GossipMessage):
                continue
            record = pack_record(word)
            if len(body) + len(record) > self.max_body_bytes:
                packed.append(self.seal(peer, body))
                body = b""
            body += record
        if body or not packed:
            packed.append(self.seal(peer, body))
        return packed

    def seal(self, peer: int, body: bytes) -> bytes:
        data = HEADER.pack(MAGIC, VERSION, self.incarnation, self.receives_from(peer)) + body
        if (len(data) + (TAG_BYTES if self.key else 0)) % RECORD.size == 0:
            data += bytes([PAD])
        return data + self.authentication_tag(self.proxy_index, data) if self.key else data

    def unpack(self, sender: int, data: bytes) -> GossipReceived | None:
        """What a datagram says; None for one that is malformed, of another version or without the key."""
        if len(data) % RECORD.size == 0:
            words = () if self.key else unpack_messages(data)
            return GossipReceived(sender, words) if words else None
        if self.key:
            data, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
            if not hmac.compare_digest(tag, self.authentication_tag(sender, data)):
                return None
        if len(data) < HEADER.size:
            return None
        magic, version, generation, hears = HEADER.unpack_from(data)
        if (magic, version) != (MAGIC, VERSION) or hears > 1:
            return None
        try:
            return GossipReceived(sender, tuple(records(data)), generation, bool(hears))
        except (KeyError, ValueError, struct.error):
            return None


def records(data: bytes) -> list[GossipMessage | LimitMessage]:
    """The records of a datagram; KeyError, ValueError or struct.error where it is malformed."""
    found: list[GossipMessage | LimitMessage] = []
    at = HEADER.size
    while at < len(data) and data[at] != PAD:
        form, read = READ[data[at]]
        found.append(read(form.unpack_from(data, at)[1:]))
        at += form.size
    if any(data[at:]) or len(data) - at > 1:
        raise ValueError("bytes after the pad")
    return found
