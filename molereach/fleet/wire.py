"""The control protocol of one front door: frames and messages, a core.

A frame is four bytes of length (big-endian) and that many bytes of JSON. Every message names the protocol's
version. Both sides bound what they take before they make room for it; a frame that breaks a bound ends the
connection.
"""

from typing import Literal

import msgspec

from molereach.fleet.orders import Decided, OrderError, OrderStateRecord
from molereach.policy.interface.protocols import CustomerLimits

VERSION = 2
HEAD_BYTES = 4
MAX_REQUEST_BYTES = 512 * 1024  # a book with the most orders in force, each as long as can be
MAX_RESPONSE_BYTES = 1 << 20


class WireError(ValueError):
    """What came is no frame, or no message, of this protocol."""


RequestKind = Literal["state", "members", "orders", "counters", "quota", "put", "watch"]


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an agent asks of a front door. `number` comes back with the answer."""

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
    in_flight: int  # attempts of this front door that are out


class ProxyState(msgspec.Struct, frozen=True):
    """How a front door stands."""

    name: str
    pid: int
    up_s: float
    on_hold: bool = msgspec.field(name="held")
    revision: int  # of the orders that it has
    list_version: int
    clients: int
    open_requests: int


class QuotaStatus(msgspec.Struct, frozen=True):
    """What a front door knows of a customer's quota, for each of its sets; units and seconds."""

    plan: int
    available_units: float = msgspec.field(name="level")
    rate_fraction: float = msgspec.field(name="part")
    ceiling_fraction: float = msgspec.field(name="ceiling_part")
    demand: float
    updated_s_ago: float | None = msgspec.field(name="heard_s_ago")  # None for never
    limits: CustomerLimits | None = msgspec.field(name="shares", default=None)  # None without `[limits]`


class Response(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a front door answers; `error` is one plain line. With `number` -1 it is news for a watcher."""

    version: int
    number: int
    error: str = ""
    state: ProxyState | None = None
    members: tuple[Member, ...] | None = None
    orders: tuple[Decided, ...] | None = None
    counters: dict[str, int] | None = None
    quota: tuple[QuotaStatus, ...] | None = None


NOTIFICATION_NUMBER = -1
_encoder = msgspec.json.Encoder()
_asks = msgspec.json.Decoder(Request)
_answers = msgspec.json.Decoder(Response)


def frame(message: Request | Response) -> bytes:
    """A message as bytes; WireError for one that is too long."""
    body = _encoder.encode(message)
    most = MAX_REQUEST_BYTES if isinstance(message, Request) else MAX_RESPONSE_BYTES
    if len(body) > most:
        raise WireError(f"a message of {len(body)} bytes; {most} at most")
    return len(body).to_bytes(HEAD_BYTES) + body


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self, most: int) -> None:
        self.buffer, self.max_bytes = bytearray(), most

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> bytes | None:
        """The next whole frame's body; None if there is none yet."""
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
    """WireError names the key that is wrong, or the version that is not ours."""
    try:
        ask = _asks.decode(body)
        if ask.order_state:
            ask.order_state.check()
    except (msgspec.DecodeError, UnicodeDecodeError, OrderError) as error:
        raise WireError(" ".join(str(error).split())) from error
    if ask.version != VERSION:
        raise WireError(f"version {ask.version} is not spoken here; {VERSION} is")
    return ask


def decode_response(body: bytes) -> Response:
    """As `read_ask`, on the other side."""
    try:
        answer = _answers.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(" ".join(str(error).split())) from error
    if answer.version != VERSION:
        raise WireError(f"version {answer.version} is not spoken here; {VERSION} is")
    return answer
