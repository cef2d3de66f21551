"""Families of messages that share a codec: their samples, how they are encoded, and how they are decoded."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, get_args

import msgspec

from molereach.coordination.dissemination import messages as dissemination_types
from molereach.coordination.interface.sessions import RenewalGrant
from molereach.coordination.interface.sessions import RenewalRequest as SessionAsk
from molereach.coordination.leases import bodies as lease_bodies
from molereach.coordination.membership import messages as membership_types
from molereach.coordination.node.components import DISSEMINATION, LOG, MEMBERSHIP, MESSAGE_TYPES
from molereach.coordination.replicated_log import messages as log_words
from molereach.coordination.replicated_log import records as log_records
from molereach.coordination.replicated_log import voters as log_panel
from molereach.coordination.transport import handshake as link_hello
from molereach.coordination.transport import messages as link_words
from tests.compatibility import council_samples as samples

RECORD_TYPES = (
    log_records.DiskStarted
    | log_records.RunRecorded
    | log_records.BallotPromised
    | log_records.BatchAccepted
    | log_records.StateAdopted
    | log_records.EntriesDecided
)
HANDSHAKE_TYPES = link_hello.Greeting | link_hello.Hello | link_hello.Welcome | link_hello.Rejection


@dataclass(frozen=True, slots=True)
class Family:
    """Messages of one codec; `types` are all that the codec knows."""

    name: str
    samples: Mapping[str, Any]
    types: tuple[type, ...]
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]

    @property
    def file_name(self) -> str:
        """The recorded file."""
        return f"council_{self.name}.hex"

    def encoded(self) -> dict[str, bytes]:
        """Each sample's bytes."""
        return {name: self.encode(sample) for name, sample in self.samples.items()}


def link_family(name: str, part: str, messages: Mapping[str, Any], types: Any) -> Family:  # noqa: ANN401
    """Messages of one part in the envelope in which a link sends them."""
    words = link_words.MessageCodec(MESSAGE_TYPES)

    def decode(body: bytes) -> Any:  # noqa: ANN401
        read_part, message = words.decode(body)
        assert read_part == part
        return message

    return Family(name, messages, get_args(types), lambda message: words.encode(part, message), decode)


def binary_family(name: str, messages: Mapping[str, Any], types: Any) -> Family:  # noqa: ANN401
    """Messages that are msgpack without an envelope."""
    decoder = msgspec.msgpack.Decoder(types)
    return Family(name, messages, get_args(types) or (types,), msgspec.msgpack.encode, decoder.decode)


def membership_family() -> Family:
    """Datagrams of the membership protocol."""
    return Family(
        "membership_messages",
        samples.membership_messages(),
        get_args(membership_types.Message),
        membership_types.encode,
        membership_types.decode,
    )


def lease_family() -> Family:
    """Bodies of entries about sessions."""
    return Family(
        "lease_bodies",
        samples.lease_body_samples(),
        get_args(lease_bodies.Body),
        lease_bodies.encode,
        lease_bodies.decode,
    )


def panel_family() -> Family:
    """Bodies of the log's own entries, which change the panel."""
    changes, types = samples.panel_changes(), get_args(log_panel.Change)
    return Family("panel_changes", changes, types, msgspec.json.encode, read_change)


def read_change(body: bytes) -> log_panel.Change:
    """A change of the panel."""
    return msgspec.json.decode(body, type=log_panel.Change)


FAMILIES = (
    membership_family(),
    panel_family(),
    lease_family(),
    link_family("link_membership", MEMBERSHIP, samples.membership_messages(), membership_types.Message),
    link_family("link_log", LOG, samples.log_messages(), log_words.Message),
    link_family("link_spread", DISSEMINATION, samples.spread_messages(), dissemination_types.Message),
    link_family(
        "link_own",
        link_words.CONTROL_PROTOCOL,
        samples.link_own_messages(),
        link_words.Heartbeat | link_words.Goodbye,
    ),
    binary_family("handshake", samples.handshake_messages(), HANDSHAKE_TYPES),
    binary_family("log_records", samples.log_record_samples(), RECORD_TYPES),
    binary_family("log_bases", {"base": samples.log_base()}, log_records.Base),
    binary_family("log_snapshots", {"snapshot": samples.log_snapshot()}, log_records.Snapshot),
    binary_family("session_asks", samples.session_asks(), SessionAsk),
    binary_family("session_grants", samples.session_grants(), RenewalGrant),
)


def part_numbers() -> str:
    """The parts' numbers on a link, which both sides must have alike."""
    return json.dumps(link_words.MessageCodec(MESSAGE_TYPES).protocol_numbers, indent=2) + "\n"
