"""Compact encoding of an endpoint list's entry: 33 bytes of numbers, the name and the host. No I/O."""

from struct import Struct, error

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.subsetting.interface import EndpointListError

# State, zone, kind, cell, size, start in microseconds, port, length of the name; then the name and the host.
HEADER = Struct("<BiiidqHH")
ZONE_FIELD = 1
CELL_FIELD = 3
STARTED_US_FIELD = 5
NAME_LENGTH_FIELD = 7
STATE_UP = 0
STATE_DRAINING = 1
TEXT_ENCODING = "utf-8"
TEXT_ERRORS = "surrogatepass"  # JSON strings may contain unpaired surrogates
MAX_SHOWN_NAME_BYTES = 80


def encode_name(name: str) -> bytes:
    """Encode a name in UTF-8, including unpaired surrogates."""
    try:
        return name.encode()
    except UnicodeEncodeError:
        return name.encode(TEXT_ENCODING, TEXT_ERRORS)


def pack(endpoint: Endpoint, address: EndpointAddress | None, name: bytes = b"") -> bytes:
    """Encode an endpoint that is up or draining as a record.

    `name` is its encoded name, if the caller has it already. Raises EndpointListError for values that do not
    fit into a record, such as a name of over 65,535 bytes.
    """
    host, port = address or ("", 0)
    name = name or encode_name(endpoint.name)
    state = STATE_UP if endpoint.state is EndpointState.UP else STATE_DRAINING
    fields = (endpoint.zone, endpoint.kind, endpoint.cell, endpoint.size, endpoint.started_us, port)
    try:
        header = HEADER.pack(state, *fields, len(name))
    except error as reason:
        shown_name = name[:MAX_SHOWN_NAME_BYTES]
        raise EndpointListError(f"an entry that fits no record: {shown_name!r}: {reason}") from reason
    return header + name + encode_name(host)


def unpack(record: bytes) -> tuple[Endpoint, EndpointAddress | None]:
    """Decode a record to its endpoint, and its address if it has one."""
    state, zone, kind, cell, size, started_us, port, name_length = HEADER.unpack_from(record)
    name_end = HEADER.size + name_length
    name = record[HEADER.size : name_end].decode(TEXT_ENCODING, TEXT_ERRORS)
    endpoint_state = EndpointState.UP if state == STATE_UP else EndpointState.DRAINING
    endpoint = Endpoint(name, zone, kind, cell, endpoint_state, size, started_us)
    if not port:
        return endpoint, None
    return endpoint, (record[name_end:].decode(TEXT_ENCODING, TEXT_ERRORS), port)


def name_of(record: bytes) -> bytes:
    """The encoded name of a record."""
    name_length = HEADER.unpack_from(record)[NAME_LENGTH_FIELD]
    return record[HEADER.size : HEADER.size + name_length]


def is_up(record: bytes) -> bool:
    """Whether the endpoint accepts new requests."""
    return record[0] == STATE_UP


def is_later(record: bytes, other: bytes) -> bool:
    """Whether a record must be newer than another one of its endpoint.

    That is so if it has a later start, or the same start and is draining.
    """
    started_us = HEADER.unpack_from(record)[STARTED_US_FIELD]
    other_started_us = HEADER.unpack_from(other)[STARTED_US_FIELD]
    return bool(started_us > other_started_us or (started_us == other_started_us and not is_up(record)))


def zone_of(record: bytes) -> int:
    """The zone of a record."""
    return int(HEADER.unpack_from(record)[ZONE_FIELD])


def cell_of(record: bytes) -> int:
    """The cell of a record."""
    return int(HEADER.unpack_from(record)[CELL_FIELD])
