"""A stream transport over an endpoint, as uvloop's."""

import asyncio
from typing import Any

from sim.loop import NODE
from sim.network.endpoint import Endpoint
from sim.network.way import Way

HIGH_WATER = 64 * 1024


class SimTransport(asyncio.Transport):
    """A stream transport that behaves as uvloop's: a write goes to the kernel at once, if there is room."""

    def __init__(self, way: Way, endpoint: Endpoint, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.way, self.endpoint = way, endpoint
        self.loop, self.node = way.loop, NODE.get()
        self.buffer = bytearray()
        self.high, self.low = HIGH_WATER, HIGH_WATER // 4
        self.paused_writing = self.closing = self.lost = self.ending = False
        self.reading, self.due = True, False
        self.protocol: Any = protocol
        endpoint.transport = self

    # --- the asyncio interface ---

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        found = {"socket": self.endpoint, "peername": self.endpoint.remote, "sockname": self.endpoint.local}
        return found.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        protocol: asyncio.BaseProtocol = self.protocol
        return protocol

    def is_closing(self) -> bool:
        return self.closing

    def is_reading(self) -> bool:
        return self.reading and not self.closing

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        if not self.reading:
            self.reading = True
            self.look()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = HIGH_WATER if high is None else high
        self.low = self.high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low, self.high

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: Any) -> None:  # noqa: ANN401
        if self.lost or self.ending or self.closing or not self.alive():
            return
        if not self.buffer:
            try:
                data = data[self.endpoint.send(data) :]
            except OSError as error:
                self.fail(error)
                return
        if data:
            self.buffer += data
            if len(self.buffer) > self.high and not self.paused_writing:
                self.paused_writing = True
                self.protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:  # noqa: ANN401
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        if not self.ending and self.alive():
            self.ending = True
            if not self.buffer:
                self.endpoint.shutdown_write()

    def close(self) -> None:
        if self.closing or not self.alive():
            return
        self.closing = True
        if not self.buffer:
            self.end(None)

    def abort(self) -> None:
        if self.lost or not self.alive():
            return
        self.closing = True
        self.buffer.clear()
        self.end(None)

    # --- from the kernel ---

    def alive(self) -> bool:
        return self.node is None or self.node.alive

    def look(self) -> None:
        """Something may be read: in a turn of its process."""
        if not self.due and not self.lost and self.alive():
            self.due = True
            self.loop.soon(self.node, self.read)

    def read(self) -> None:
        self.due = False
        endpoint = self.endpoint
        if self.lost or (self.closing and not self.buffer) or not self.reading:
            return
        if endpoint.error:
            self.fail(endpoint.error)
        elif endpoint.unread:
            self.deliver(endpoint.read(self.way.piece(len(endpoint.unread))))
            if endpoint.readable():
                self.look()
        elif endpoint.eof and not self.closing:
            self.reading = False
            if not self.protocol.eof_received():
                self.close()

    def deliver(self, data: bytes) -> None:
        if not isinstance(self.protocol, asyncio.BufferedProtocol):
            self.protocol.data_received(data)
            return
        while data:
            space: Any = self.protocol.get_buffer(-1)
            count = min(len(space), len(data))
            space[:count] = data[:count]
            data = data[count:]
            self.protocol.buffer_updated(count)

    def push_on(self) -> None:
        if self.buffer and not self.lost and self.alive():
            self.loop.soon(self.node, self.write_on)

    def write_on(self) -> None:
        if self.lost or not self.buffer:
            return
        try:
            del self.buffer[: self.endpoint.send(self.buffer)]
        except OSError as error:
            self.fail(error)
            return
        if self.paused_writing and len(self.buffer) <= self.low:
            self.paused_writing = False
            self.protocol.resume_writing()
        if not self.buffer and not self.lost:
            if self.closing:
                self.end(None)
            elif self.ending:
                self.endpoint.shutdown_write()

    def fail(self, error: OSError) -> None:
        if not self.lost:
            self.closing = True
            self.buffer.clear()
            self.end(error)

    def end(self, error: OSError | None) -> None:
        if not self.lost:
            self.lost = True
            self.loop.soon(self.node, self.tell_lost, error)

    def tell_lost(self, error: OSError | None) -> None:
        try:
            self.protocol.connection_lost(error)
        finally:
            self.endpoint.close()
