"""A stream transport over an endpoint, modelled on uvloop's."""

import asyncio
from typing import Any

from sim.loop import CURRENT_NODE
from sim.network.endpoint import Endpoint
from sim.network.way import Links

HIGH_WATER = 64 * 1024


class SimTransport(asyncio.Transport):
    """A stream transport that behaves like uvloop's: a write is sent at once if the window has room."""

    def __init__(self, links: Links, endpoint: Endpoint, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.links, self.endpoint = links, endpoint
        self.loop, self.node = links.loop, CURRENT_NODE.get()
        self.buffer = bytearray()
        self.high_water, self.low_water = HIGH_WATER, HIGH_WATER // 4
        self.paused_writing = self.closing = self.finished = self.eof_requested = False
        self.reading, self.read_scheduled = True, False
        self.protocol: Any = protocol
        endpoint.transport = self

    # --- the asyncio interface ---

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        info = {"socket": self.endpoint, "peername": self.endpoint.remote, "sockname": self.endpoint.local}
        return info.get(name, default)

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
            self.schedule_read()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high_water = HIGH_WATER if high is None else high
        self.low_water = self.high_water // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low_water, self.high_water

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: Any) -> None:  # noqa: ANN401
        if self.finished or self.eof_requested or self.closing or not self.is_alive():
            return
        if not self.buffer:
            try:
                data = data[self.endpoint.send(data) :]
            except OSError as error:
                self.fail(error)
                return
        if data:
            self.buffer += data
            if len(self.buffer) > self.high_water and not self.paused_writing:
                self.paused_writing = True
                self.protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:  # noqa: ANN401
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        if not self.eof_requested and self.is_alive():
            self.eof_requested = True
            if not self.buffer:
                self.endpoint.shutdown_write()

    def close(self) -> None:
        if self.closing or not self.is_alive():
            return
        self.closing = True
        if not self.buffer:
            self.finish(None)

    def abort(self) -> None:
        if self.finished or not self.is_alive():
            return
        self.closing = True
        self.buffer.clear()
        self.finish(None)

    # --- called by the endpoint ---

    def is_alive(self) -> bool:
        """Whether the process that owns the transport is alive."""
        return self.node is None or self.node.alive

    def schedule_read(self) -> None:
        """Read in a later callback of the process."""
        if not self.read_scheduled and not self.finished and self.is_alive():
            self.read_scheduled = True
            self.loop.call_soon_in(self.node, self.read)

    def read(self) -> None:
        """Deliver one chunk, the end of file or an error to the protocol."""
        self.read_scheduled = False
        endpoint = self.endpoint
        if self.finished or (self.closing and not self.buffer) or not self.reading:
            return
        if endpoint.error:
            self.fail(endpoint.error)
        elif endpoint.unread:
            self.deliver(endpoint.read(self.links.read_size(len(endpoint.unread))))
            if endpoint.readable():
                self.schedule_read()
        elif endpoint.eof and not self.closing:
            self.reading = False
            if not self.protocol.eof_received():
                self.close()

    def deliver(self, data: bytes) -> None:
        """Hand bytes to a streaming or buffered protocol."""
        if not isinstance(self.protocol, asyncio.BufferedProtocol):
            self.protocol.data_received(data)
            return
        while data:
            space: Any = self.protocol.get_buffer(-1)
            count = min(len(space), len(data))
            space[:count] = data[:count]
            data = data[count:]
            self.protocol.buffer_updated(count)

    def schedule_flush(self) -> None:
        """Write buffered bytes in a later callback of the process."""
        if self.buffer and not self.finished and self.is_alive():
            self.loop.call_soon_in(self.node, self.flush)

    def flush(self) -> None:
        """Send buffered bytes, then resume the protocol or finish a pending close."""
        if self.finished or not self.buffer:
            return
        try:
            del self.buffer[: self.endpoint.send(self.buffer)]
        except OSError as error:
            self.fail(error)
            return
        if self.paused_writing and len(self.buffer) <= self.low_water:
            self.paused_writing = False
            self.protocol.resume_writing()
        if not self.buffer and not self.finished:
            if self.closing:
                self.finish(None)
            elif self.eof_requested:
                self.endpoint.shutdown_write()

    def fail(self, error: OSError) -> None:
        """Drop buffered bytes and end the connection with an error."""
        if not self.finished:
            self.closing = True
            self.buffer.clear()
            self.finish(error)

    def finish(self, error: OSError | None) -> None:
        """Schedule `connection_lost`, once."""
        if not self.finished:
            self.finished = True
            self.loop.call_soon_in(self.node, self.notify_connection_lost, error)

    def notify_connection_lost(self, error: OSError | None) -> None:
        """Tell the protocol and close the endpoint."""
        try:
            self.protocol.connection_lost(error)
        finally:
            self.endpoint.close()
