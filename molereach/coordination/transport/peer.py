"""One remote proxy: its send queue, its connection and when to dial it."""

import asyncio
from collections.abc import Callable

from molereach.clock import now_us
from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.transport.connection import PeerConnection
from molereach.coordination.transport.connection_owner import ConnectionPhase
from molereach.coordination.transport.retry_backoff import RetryBackoff
from molereach.coordination.transport.send_queue import (
    FAILED_PEER_CAPACITY,
    FULL_CAPACITY,
    QueuedMessage,
    SendQueue,
)
from molereach.coordination.transport.stats import PeerStats


class Peer:
    """Dials when messages are queued and there is neither a connection nor a dial in progress.

    `dial` starts a dial: it sets `pending_connection`, and `dial_task` when the socket is being opened.
    """

    def __init__(
        self,
        name: str,
        send_queue: SendQueue,
        retry: RetryBackoff,
        dial: "Callable[[Peer], None]",
    ) -> None:
        self.name = name
        self.send_queue = send_queue
        self.retry = retry
        self.dial = dial
        self.connection: PeerConnection | None = None
        self.pending_connection: PeerConnection | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.retry_timer: asyncio.TimerHandle | None = None
        self.must_dial = False  # dial once even if no message is queued
        self.closed_bytes_received = 0  # of connections that have ended
        self.closed_bytes_sent = 0
        self.close_reason = ""

    def enqueue(self, message: QueuedMessage) -> None:
        """Queue a message; without a connection, a dropped message causes a dial as well.

        A message that exceeds the capacity of a failed peer is dropped. Its sender repeats it, and by then a
        connection may be open.
        """
        if not self.send_queue.put(message) and not self.connection:
            self.must_dial = True

    def dial_if_needed(self) -> None:
        """Dial immediately or after the backoff, if messages are queued or a dial is required."""
        is_connecting = self.connection or self.pending_connection or self.retry_timer
        if is_connecting or not (self.must_dial or len(self.send_queue)):
            return
        if delay_us := self.retry.delay_us(now_us()):
            loop = asyncio.get_running_loop()
            self.retry_timer = loop.call_later(delay_us / SECOND_US, self.on_retry_timer)
            return
        self.must_dial = False
        self.dial(self)

    def on_retry_timer(self) -> None:
        """Dial if that is still needed after the backoff."""
        self.retry_timer = None
        self.dial_if_needed()

    def on_opened(self, connection: PeerConnection) -> PeerConnection | None:
        """Use this connection from now on; return the previous one, if any."""
        previous = self.connection
        self.connection = connection
        self.must_dial = False
        if self.pending_connection is connection:
            self.pending_connection = None
        self.cancel_dial()
        self.send_queue.set_capacity(FULL_CAPACITY)
        self.retry.on_opened(now_us())
        return previous

    def on_ended(self, connection: PeerConnection, reason: str, failed: bool) -> bool:
        """Process the end of a connection; whether it was the one in use."""
        self.closed_bytes_received += connection.bytes_received
        self.closed_bytes_sent += connection.bytes_sent
        if connection is not self.connection and connection is not self.pending_connection:
            return False
        self.close_reason = reason
        if failed:
            self.retry.on_failed(now_us())
            self.send_queue.set_capacity(FAILED_PEER_CAPACITY)
        else:
            self.retry.on_closed(now_us())
        if connection is not self.connection:
            self.pending_connection = None
            return False
        self.connection = None
        self.must_dial = failed
        return True

    def cancel_dial(self) -> None:
        """Abort the dial in progress, if any."""
        connection = self.pending_connection
        self.pending_connection = None
        if connection:
            connection.abort("another link is in use", failed=False)
            if self.dial_task:
                self.dial_task.cancel()

    def close(self) -> None:
        """Drop all messages and close the connection gracefully."""
        self.must_dial = False
        self.send_queue.clear()
        self.cancel_dial()
        if self.retry_timer:
            self.retry_timer.cancel()
            self.retry_timer = None
        if self.connection:
            self.connection.close_gracefully("closed")

    def state(self) -> str:
        """The state for `PeerStats`."""
        if self.connection:
            return "up"
        if self.pending_connection:
            return "dialling"
        return "waiting" if self.retry_timer else "idle"

    def stats(self) -> PeerStats:
        """The state of the peer and the totals of its connections."""
        connection = self.connection
        candidates = (connection, self.pending_connection)
        live_connections = [
            candidate
            for candidate in candidates
            if candidate and candidate.phase is not ConnectionPhase.CLOSED
        ]
        return PeerStats(
            state=self.state(),
            instance_number=connection.peer_instance.number if connection else None,
            queued_messages=len(self.send_queue),
            queued_bytes=self.send_queue.size_bytes,
            dropped=self.send_queue.dropped,
            bytes_received=self.closed_bytes_received
            + sum(candidate.bytes_received for candidate in live_connections),
            bytes_sent=self.closed_bytes_sent + sum(candidate.bytes_sent for candidate in live_connections),
            silent_us=now_us() - connection.last_received_us if connection else None,
            consecutive_failures=self.retry.failures,
            close_reason=self.close_reason,
        )
