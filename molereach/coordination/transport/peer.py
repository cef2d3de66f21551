"""One front door of the council: what waits for it, the link in use, when to dial. A shell."""

import asyncio
from collections.abc import Callable

from molereach.clock import now_us
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
    """Dials whenever something waits and there is neither link nor dial. `dial` sets `dialling`, and `task`
    when it begins."""

    def __init__(
        self,
        name: str,
        outbox: SendQueue,
        retry: RetryBackoff,
        dial: "Callable[[Peer], None]",
    ) -> None:
        self.name, self.send_queue, self.retry, self.dial = name, outbox, retry, dial
        self.connection: PeerConnection | None = None
        self.pending_connection: PeerConnection | None = None
        self.dial_task: asyncio.Task[None] | None = None  # of the dial, once it has begun
        self.retry_timer: asyncio.TimerHandle | None = None
        self.redial = False  # one dial, also with nothing that waits
        self.closed_bytes_received = self.closed_bytes_sent = 0  # of links that are over
        self.close_reason = ""

    def enqueue(self, item: QueuedMessage) -> None:
        """Say it when there is a link. One that is too large to wait for a peer that fails is lost, but who
        said it will say it again: to a link, if there is one by then."""
        if not self.send_queue.put(item) and not self.connection:
            self.redial = True

    def dial_if_needed(self) -> None:
        """Dial, now or when it is time, if there is a reason to."""
        if (
            self.connection
            or self.pending_connection
            or self.retry_timer
            or not (self.redial or len(self.send_queue))
        ):
            return
        if wait_us := self.retry.delay_us(now_us()):
            self.retry_timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self.on_retry_timer)
            return
        self.redial = False
        self.dial(self)

    def on_retry_timer(self) -> None:
        self.retry_timer = None
        self.dial_if_needed()

    def on_opened(self, link: PeerConnection) -> PeerConnection | None:
        """`link` is the one in use from now on; the one that was until now."""
        old, self.connection, self.redial = self.connection, link, False
        if self.pending_connection is link:
            self.pending_connection = None
        self.cancel_dial()
        self.send_queue.set_capacity(FULL_CAPACITY)
        self.retry.on_opened(now_us())
        return old

    def on_ended(self, link: PeerConnection, reason: str, fault: bool) -> bool:
        """Whether it was the link in use."""
        self.closed_bytes_received, self.closed_bytes_sent = (
            self.closed_bytes_received + link.bytes_received,
            self.closed_bytes_sent + link.bytes_sent,
        )
        if link is not self.connection and link is not self.pending_connection:
            return False
        used = link is self.connection
        self.close_reason = reason
        if fault:
            self.retry.on_failed(now_us())
            self.send_queue.set_capacity(FAILED_PEER_CAPACITY)
        else:
            self.retry.on_closed(now_us())
        if used:
            self.connection, self.redial = None, fault
        else:
            self.pending_connection = None
        return used

    def cancel_dial(self) -> None:
        """End the dial that is under way."""
        link, self.pending_connection = self.pending_connection, None
        if link:
            link.abort("another link is in use", fault=False)
            if self.dial_task:
                self.dial_task.cancel()

    def close(self) -> None:
        self.redial = False
        self.send_queue.clear()
        self.cancel_dial()
        if self.retry_timer:
            self.retry_timer.cancel()
            self.retry_timer = None
        if self.connection:
            self.connection.close_gracefully("closed")

    def stats(self) -> PeerStats:
        link = self.connection
        state = (
            "up"
            if link
            else "dialling"
            if self.pending_connection
            else "waiting"
            if self.retry_timer
            else "idle"
        )
        live = [
            one for one in (link, self.pending_connection) if one and one.phase is not ConnectionPhase.CLOSED
        ]
        return PeerStats(
            state,
            link.peer_instance.number if link else None,
            len(self.send_queue),
            self.send_queue.size,
            self.send_queue.dropped,
            self.closed_bytes_received + sum(one.bytes_received for one in live),
            self.closed_bytes_sent + sum(one.bytes_sent for one in live),
            now_us() - link.last_received_us if link else None,
            self.retry.failures,
            self.close_reason,
        )
