"""The control protocol between an agent and one proxy: frames and messages, without I/O.

A frame is a length of four bytes (big-endian), followed by that many bytes of JSON. Every message carries the
version of the protocol. Both sides check the length of a frame before its body has arrived, so that a peer
cannot make them buffer an unlimited body; an invalid length ends the connection. The names given to
`msgspec.field` are those on the wire. The docstrings of `Member`, `ProxyState` and `QuotaStatus` are
published in the API's description (`agent/openapi.json`), so they must not change.
"""

from typing import Literal

import msgspec

from molereach.fleet.errors import FleetError
from molereach.fleet.orders import Decided, OrderError, OrderStateRecord
from molereach.policy.interface.protocols import CustomerLimits

VERSION = 2
HEAD_BYTES = 4
MAX_REQUEST_BYTES = 512 * 1024  # holds `MAX_IN_FORCE` orders of the greatest length
MAX_RESPONSE_BYTES = 1 << 20


class WireError(FleetError, ValueError):
    """Received bytes are not a frame, or not a message, of this protocol."""


RequestKind = Literal["state", "members", "orders", "counters", "quota", "put", "watch"]


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An agent's request to a proxy; the response carries the same `number`."""

    version: int
    number: int
    kind: RequestKind = msgspec.field(name="what")
    customer: str = ""  # for `quota`: 16 hex digits
    # For `put`: a revision, and all orders in force at it.
    order_state: OrderStateRecord | None = msgspec.field(name="book", default=None)


class Member(msgspec.Struct, frozen=True):
    """A server as this front door sees it."""

    name: str
    building: str
    listed: str  # the state that discovery reports
    drained: bool  # whether an order drains it
    in_flight: int  # attempts of this proxy in flight at the server


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
    """A proxy's response, or a notification to a watching agent; `error` is one line, or '' on success."""

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
    """Return a message as a frame; raise WireError if it is too long."""
    body = _encoder.encode(message)
    max_bytes = MAX_REQUEST_BYTES if isinstance(message, Request) else MAX_RESPONSE_BYTES
    if len(body) > max_bytes:
        raise WireError(f"a message of {len(body)} bytes; {max_bytes} at most")
    return len(body).to_bytes(HEAD_BYTES) + body


class FrameReader:
    """Splits a stream of bytes into the bodies of frames."""

    def __init__(self, max_bytes: int) -> None:
        """Create a reader of frames with at most `max_bytes` bytes of body."""
        self.buffer = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> None:
        """Buffer received bytes."""
        self.buffer += data

    def next(self) -> bytes | None:
        """Return the body of the next complete frame, or None; raise WireError if its length is invalid."""
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
    """Decode the body of a request; raise WireError if the message or its version is not valid."""
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
    """Decode the body of a response; raise WireError if the message or its version is not valid."""
    try:
        response = _response_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(" ".join(str(error).split())) from error
    if response.version != VERSION:
        raise WireError(f"version {response.version} is not spoken here; {VERSION} is")
    return response
