"""Encodes gossip on limits in datagrams of at most 256 bytes, alongside those without limits. No I/O.

Layout, in network byte order: magic (1 byte), version (1), the sender's incarnation (2), whether the sender
has recently received from the receiver (1), records, and with a key an authentication tag of 8 bytes
(BLAKE2b, RFC 7693, keyed; over the sender's index and everything before the tag). The length of a datagram
of front doors without limits is a multiple of its record size. The length of this layout never is, so those
front doors drop such a datagram, and receivers distinguish the two layouts by length.
"""

import hashlib
import hmac
import struct
from collections.abc import Callable, Sequence

from molereach.limits.errors import MalformedRecordError
from molereach.limits.gossip_records import PAD, Message, pack_record, unpack_records
from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import GossipMessage
from molereach.protocol.gossip_codec import MAX_DATAGRAM_BYTES, RECORD, pack_messages, unpack_messages

MAGIC = 0xB7
VERSION = 1
HEADER = struct.Struct("!BBHB")
TAG_BYTES = 8
PROXY_INDEX_BYTES = 2


class LimitGossipCodec:
    """Encodes the messages of one proxy and decodes those of its peers."""

    def __init__(
        self,
        proxy_index: int,
        incarnation: int,
        supports_limits: Callable[[int], bool] = lambda peer: True,
        key: bytes = b"",
        receives_from: Callable[[int], bool] = lambda peer: True,
    ) -> None:
        """Create the codec of one incarnation of a proxy.

        `supports_limits` tells whether a peer is known to read this layout; until then, quota messages are
        sent in the layout of front doors without limits. `receives_from` tells whether messages from a peer
        have arrived recently. The peer is notified of it, as a link may work in one direction only. With a
        `key`, datagrams without a valid tag are dropped.
        """
        self.proxy_index = proxy_index
        self.incarnation = incarnation
        self.supports_limits = supports_limits
        self.key = key
        self.receives_from = receives_from
        self.tag_bytes = TAG_BYTES if key else 0
        self.max_body_bytes = MAX_DATAGRAM_BYTES - HEADER.size - self.tag_bytes - 1  # 1: for padding

    def pack(self, peer: int, messages: Sequence[Message]) -> list[bytes]:
        """Return datagrams with the messages, or one heartbeat datagram if there are none."""
        quota_messages: list[GossipMessage] = []
        if not self.key and not self.supports_limits(peer):
            quota_messages = [message for message in messages if isinstance(message, GossipMessage)]
            messages = [message for message in messages if not isinstance(message, GossipMessage)]
        datagrams = pack_messages(quota_messages)
        body = b""
        for message in messages:
            record = pack_record(message)
            if len(body) + len(record) > self.max_body_bytes:
                datagrams.append(self.seal(peer, body))
                body = b""
            body += record
        if body or not datagrams:
            datagrams.append(self.seal(peer, body))
        return datagrams

    def seal(self, peer: int, body: bytes) -> bytes:
        """Return the datagram to a peer that contains the packed records in `body`."""
        data = HEADER.pack(MAGIC, VERSION, self.incarnation, self.receives_from(peer)) + body
        if (len(data) + self.tag_bytes) % RECORD.size == 0:
            data += bytes([PAD])
        return data + self.authentication_tag(self.proxy_index, data) if self.key else data

    def unpack(self, sender: int, data: bytes) -> GossipReceived | None:
        """Decode a datagram; None if it is malformed, of another version or not authenticated by the key."""
        if len(data) % RECORD.size == 0:
            quota_messages = () if self.key else unpack_messages(data)
            return GossipReceived(sender, quota_messages) if quota_messages else None
        if self.key:
            tag = data[-TAG_BYTES:]
            data = data[:-TAG_BYTES]
            if not hmac.compare_digest(tag, self.authentication_tag(sender, data)):
                return None
        if len(data) < HEADER.size:
            return None
        magic, version, incarnation, is_receiving = HEADER.unpack_from(data)
        if (magic, version) != (MAGIC, VERSION) or is_receiving > 1:
            return None
        try:
            messages = unpack_records(data, HEADER.size)
        except MalformedRecordError:
            return None
        return GossipReceived(sender, messages, incarnation, bool(is_receiving))

    def authentication_tag(self, sender: int, data: bytes) -> bytes:
        """Return the tag that the key gives a sender's datagram."""
        authenticated = sender.to_bytes(PROXY_INDEX_BYTES, "big") + data
        return hashlib.blake2b(authenticated, digest_size=TAG_BYTES, key=self.key).digest()
