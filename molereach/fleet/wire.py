"""The control protocol between an agent and one proxy: frames and messages, without I/O.

A frame is a length of four bytes (big-endian) and that many bytes of JSON. Every message names the version of
the protocol. Both sides check a frame's length before they allocate memory for it; a frame that is too long
ends the connection. The names given to `msgspec.field` are those on the wire.
"""

from typing import Literal

import msgspec

from molereach.fleet.errors import FleetError
from molereach.fleet.orders import Decided, OrderError, OrderStateRecord
from molereach.policy.interface.protocols import CustomerLimits

VERSION = 2
HEAD_BYTES = 4
MAX_REQUEST_BYTES = 512 * 1024  # MAX_IN_FORCE orders, each of the greatest length
MAX_RESPONSE_BYTES = 1 << 20


class WireError(FleetError, ValueError):
    """Received bytes are not a frame, or not a message, of this protocol."""


RequestKind = Literal["state", "members", "orders", "counters", "quota", "put", "watch"]


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An agent's request to a proxy; the response carries the same `number`."""

    version: int
    number: int
    kind: RequestKind = msgspec.field(name="what")
    customer: str = ""  # of `quota`: 16 hex digits
    # Of `put`: all orders in force at its revision.
    order_state: OrderStateRecord | None = msgspec.field(name="book", default=None)


class Member(msgspec.Struct, frozen=True):
    """A server as this front door sees it."""

    name: str
    building: str
    listed: str  # by discovery
    drained: bool  # by an order
    in_flight: int  # attempts of this proxy


class ProxyState(msgspec.Struct, frozen=True):
    """How a front door stands."""

    name: str
    pid: int
    up_s: float
    on_hold: bool = msgspec.field(name="held")
    revision: int  # of the orders in force
    list_version: int
    clients: int
    open_requests: int


class QuotaStatus(msgspec.Struct, frozen=True):
    """What a front door knows of a customer's quota, for each of its sets; units and seconds."""

    plan: int
    tokens: float = msgspec.field(name="level")
    local_tokens: float = msgspec.field(name="part")
    ceiling_tokens: float = msgspec.field(name="ceiling_part")
    demand: float
    reply_age_s: float | None = msgspec.field(name="heard_s_ago")  # None for never
    limits: CustomerLimits | None = msgspec.field(name="shares", default=None)  # None without `[limits]`


class Response(msgspec.Struct, frozen=True, omit_defaults=True):
    """A proxy's response, or a notification to a watcher; `error` is one line, '' without an error."""

    version: int
    number: int
    error: str = ""
    state: ProxyState | None = None
    members: tuple[Member, ...] | None = None
    orders: tuple[Decided, ...] | None = None
    counters: dict[str, int] | None = None
    quota: tuple[QuotaStatus, ...] | None = None


NOTIFICATION_NUMBER = -1  # `Response.number` of a notification
_encoder = msgspec.json.Encoder()
_request_decoder = msgspec.json.Decoder(Request)
_response_decoder = msgspec.json.Decoder(Response)


def frame(message: Request | Response) -> bytes:
    """Encode a message as a frame; raise WireError if it is too long."""
    body = _encoder.encode(message)
    max_bytes = MAX_REQUEST_BYTES if isinstance(message, Request) else MAX_RESPONSE_BYTES
    if len(body) > max_bytes:
        raise WireError(f"a message of {len(body)} bytes; {max_bytes} at most")
    return len(body).to_bytes(HEAD_BYTES) + body


class FrameReader:
    """Splits a stream of bytes into frames."""

    def __init__(self, max_bytes: int) -> None:
        """Read frames whose body has at most `max_bytes` bytes."""
        self.buffer = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def next(self) -> bytes | None:
        """Return the body of the next complete frame, or None; raise WireError for a wrong length."""
        if len(self.buffer) < HEAD_BYTES:
            return None
        size = int.from_bytes(self.buffer[:HEAD_BYTES])
        if not 0 < size <= self.max_bytes:
            raise WireError(f"a frame of {size} bytes; 1 to {self.max_bytes} are taken")
        end = HEAD_BYTES + size
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[HEAD_BYTES:end])
        del self.buffer[:end]
        return body


def decode_request(body: bytes) -> Request:
    """Decode the body of a request; WireError names the key that is wrong, or the version."""
    try:
        request = _request_decoder.decode(body)
        if request.order_state:
            request.order_state.check()
    except (msgspec.DecodeError, UnicodeDecodeError, OrderError) as error:
        raise WireError(" ".join(str(error).split())) from error
    if request.version != VERSION:
        raise WireError(f"version {request.version} is not spoken here; {VERSION} is")
    return request


def decode_response(body: bytes) -> Response:
    """Decode the body of a response; WireError names the key that is wrong, or the version."""
    try:
        response = _response_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(" ".join(str(error).split())) from error
    if response.version != VERSION:
        raise WireError(f"version {response.version} is not spoken here; {VERSION} is")
    return response
