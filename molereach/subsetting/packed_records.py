"""A backend's entry in few bytes: 33 of figures, its name and its host. A core."""

from struct import Struct, error

from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.subsetting.interface import Address, ListError

# State, zone, kind, cell, size, start in microseconds, port, bytes of the name; then the name and the host.
HEAD = Struct("<BiiidqHH")
UP, DRAINING = 0, 1
TEXT = "utf-8", "surrogatepass"  # JSON can hold halves of pairs


def name_bytes(name: str) -> bytes:
    try:
        return name.encode()
    except UnicodeEncodeError:
        return name.encode(*TEXT)


def pack(server: Endpoint, address: Address | None, name: bytes = b"") -> bytes:
    """ListError for what fits no record, as a name of over 65,535 bytes. One that is gone has none. `name` is
    the server's in bytes, where it is there already."""
    host, port = address or ("", 0)
    name = name or name_bytes(server.name)
    state = UP if server.state is EndpointState.UP else DRAINING
    figures = server.zone, server.kind, server.cell, server.size, server.started_us, port
    try:
        head = HEAD.pack(state, *figures, len(name))
    except error as reason:
        raise ListError(f"an entry that fits no record: {name[:80]!r}: {reason}") from reason
    return head + name + name_bytes(host)


def unpack(record: bytes) -> tuple[Endpoint, Address | None]:
    state, zone, kind, cell, size, started_us, port, length = HEAD.unpack_from(record)
    name, host = record[HEAD.size : HEAD.size + length], record[HEAD.size + length :]
    server = Endpoint(
        name.decode(*TEXT),
        zone,
        kind,
        cell,
        EndpointState.UP if state == UP else EndpointState.DRAINING,
        size,
        started_us,
    )
    return server, (host.decode(*TEXT), port) if port else None


def name_of(record: bytes) -> bytes:
    return record[HEAD.size : HEAD.size + HEAD.unpack_from(record)[7]]


def is_up(record: bytes) -> bool:
    return record[0] == UP


def is_later(record: bytes, other: bytes) -> bool:
    """Whether one entry of a backend must be later than another: of a later start, or its end."""
    started_us, other_us = HEAD.unpack_from(record)[5], HEAD.unpack_from(other)[5]
    return bool(started_us > other_us or (started_us == other_us and not is_up(record)))


def zone_of(record: bytes) -> int:
    return int(HEAD.unpack_from(record)[1])


def cell_of(record: bytes) -> int:
    return int(HEAD.unpack_from(record)[3])
