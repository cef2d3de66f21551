"""A backend's entry in few bytes: 33 of figures, its name and its host. A core."""

from struct import Struct

from fennelwinch import interface as i
from molereach.routing.interface import Address

# State, zone, kind, cell, size, start in microseconds, port, bytes of the name; then the name and the host.
HEAD = Struct("<BiiidqHH")
UP, DRAINING = 0, 1
TEXT = "utf-8", "surrogatepass"  # JSON can hold halves of pairs
MOST_NAME_BYTES = 0xFFFF


def name_bytes(name: str) -> bytes:
    return name.encode(*TEXT)


def pack(server: i.Server, address: Address | None) -> bytes:
    """ValueError or struct.error for what fits no record. One that is gone has none."""
    host, port = address or ("", 0)
    name = name_bytes(server.name)
    if len(name) > MOST_NAME_BYTES:
        raise ValueError("a name of too many bytes")
    state = UP if server.state is i.ServerState.UP else DRAINING
    head = HEAD.pack(
        state, server.zone, server.kind, server.cell, server.size, server.started_us, port, len(name)
    )
    return head + name + host.encode(*TEXT)


def unpack(record: bytes) -> tuple[i.Server, Address | None]:
    state, zone, kind, cell, size, started_us, port, length = HEAD.unpack_from(record)
    name, host = record[HEAD.size : HEAD.size + length], record[HEAD.size + length :]
    server = i.Server(
        name.decode(*TEXT), zone, kind, cell,
        i.ServerState.UP if state == UP else i.ServerState.DRAINING, size, started_us,
    )
    return server, (host.decode(*TEXT), port) if port else None


def name_of(record: bytes) -> bytes:
    return record[HEAD.size : HEAD.size + HEAD.unpack_from(record)[7]]


def is_up(record: bytes) -> bool:
    return record[0] == UP


def zone_of(record: bytes) -> int:
    return int(HEAD.unpack_from(record)[1])


def cell_of(record: bytes) -> int:
    return int(HEAD.unpack_from(record)[3])
