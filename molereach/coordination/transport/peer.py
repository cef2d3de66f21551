"""One front door of the council: what waits for it, the link in use, when to dial. A shell."""

import asyncio
from collections.abc import Callable

from molereach.clock import now_us
from molereach.coordination.transport.link import Link
from molereach.coordination.transport.owner import Phase
from molereach.coordination.transport.queue import DOWN_ROOM, FULL_ROOM, Item, Outbox
from molereach.coordination.transport.retry import Retry
from molereach.coordination.transport.stats import PeerStats


class Peer:
    """Dials whenever something waits and there is neither link nor dial. `dial` sets `dialling`, and `task`
    when it begins."""

    def __init__(
        self,
        name: str,
        outbox: Outbox,
        retry: Retry,
        dial: "Callable[[Peer], None]",
    ) -> None:
        self.name, self.outbox, self.retry, self.dial = name, outbox, retry, dial
        self.link: Link | None = None
        self.dialling: Link | None = None
        self.task: asyncio.Task[None] | None = None  # of the dial, once it has begun
        self.timer: asyncio.TimerHandle | None = None
        self.again = False  # one dial, also with nothing that waits
        self.bytes_in = self.bytes_out = 0  # of links that are over
        self.reason = ""

    def wait(self, item: Item) -> None:
        """Say it when there is a link. One that is too large to wait for a peer that fails is lost, but who
        said it will say it again: to a link, if there is one by then."""
        if not self.outbox.put(item) and not self.link:
            self.again = True

    def want(self) -> None:
        """Dial, now or when it is time, if there is a reason to."""
        if self.link or self.dialling or self.timer or not (self.again or len(self.outbox)):
            return
        if wait_us := self.retry.wait_us(now_us()):
            self.timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self.on_time)
            return
        self.again = False
        self.dial(self)

    def on_time(self) -> None:
        self.timer = None
        self.want()

    def opened(self, link: Link) -> Link | None:
        """`link` is the one in use from now on; the one that was until now."""
        old, self.link, self.again = self.link, link, False
        if self.dialling is link:
            self.dialling = None
        self.give_up()
        self.outbox.fit(FULL_ROOM)
        self.retry.opened(now_us())
        return old

    def ended(self, link: Link, reason: str, fault: bool) -> bool:
        """Whether it was the link in use."""
        self.bytes_in, self.bytes_out = self.bytes_in + link.bytes_in, self.bytes_out + link.bytes_out
        if link is not self.link and link is not self.dialling:
            return False
        used = link is self.link
        self.reason = reason
        if fault:
            self.retry.failed(now_us())
            self.outbox.fit(DOWN_ROOM)
        else:
            self.retry.closed(now_us())
        if used:
            self.link, self.again = None, fault
        else:
            self.dialling = None
        return used

    def give_up(self) -> None:
        """End the dial that is under way."""
        link, self.dialling = self.dialling, None
        if link:
            link.lose("another link is in use", fault=False)
            if self.task:
                self.task.cancel()

    def close(self) -> None:
        self.again = False
        self.outbox.clear()
        self.give_up()
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.link:
            self.link.leave("closed")

    def stats(self) -> PeerStats:
        link = self.link
        state = "up" if link else "dialling" if self.dialling else "waiting" if self.timer else "idle"
        live = [one for one in (link, self.dialling) if one and one.phase is not Phase.OVER]
        return PeerStats(
            state,
            link.life.number if link else None,
            len(self.outbox),
            self.outbox.size,
            self.outbox.dropped,
            self.bytes_in + sum(one.bytes_in for one in live),
            self.bytes_out + sum(one.bytes_out for one in live),
            now_us() - link.heard_us if link else None,
            self.retry.failures,
            self.reason,
        )
