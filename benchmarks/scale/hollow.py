"""Hollow front doors: many in one process, which are peers of the real ones and nothing else.

Each is the decision module with a datagram socket at its address: it takes the requests of those tenants
that it shares with a real door, at their rates, and its words leave and arrive as a real door's. It has no
clients, no list from discovery and no connections: what a quota lets through counts as served.
"""

import asyncio
import itertools
import time
from random import Random
from typing import Any, cast

from benchmarks.scale.tier import Tenant, Tier, peer_address
from molereach.clock import now_us
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import SendGossip, SetTimer
from molereach.policy.interface.events import Event, RequestReceived, TimerExpired
from molereach.protocol.gossip_codec import QuotaGossipCodec
from molereach.proxy.config import Config, parse
from rig.sockets import Address
from rig.workload import CLASSES

MOST_BEHIND_S = 0.5  # past this what was due is left out, and counted as one skip
DATAGRAM_HEAD_BYTES = 28  # of IPv4 and UDP


def configuration(tier: Tier, door: int) -> Config:
    """As a real door of that number reads its own, but for the others' addresses."""
    none = "127.0.0.1:1"
    values = {
        "name": f"hollow-{door}",
        "listen": none,
        "discovery": none,
        "peer_listen": none,
        "peers": [none],
        "seed": f"{door:x}",
        "settings": tier.settings(door),
    }
    return parse(values, {})


class Served(Gateway):
    """A gateway whose requests are served as soon as their quota and ceiling allow it: by nobody.

    What is left out is the choice of a server and what comes of it; a peer hears nothing of these.
    """

    def forward_waiting(self) -> None:
        entries = self.queue.entries
        self.queue.entries = []
        for entry in entries:
            pending = entry.pending
            if pending.is_closed:
                continue
            if not self.queue.is_below_ceiling(self.now_us, pending):
                self.queue.entries.append(entry)
                continue
            self.customers.spend_ceiling(self.now_us, pending.account, pending.request.units)
            self.attempts.pending.pop(pending.request.request_id, None)
            pending.is_closed = True


class HollowDoor(asyncio.DatagramProtocol):
    """One of them."""

    def __init__(self, role: "Hollow", tier: Tier, door: int) -> None:
        self.role, self.tier, self.door = role, tier, door
        self.gateway, self.form = Served(configuration(tier, door).settings), QuotaGossipCodec()
        self.loop, self.serial = asyncio.get_running_loop(), itertools.count()
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=peer_address(self.door, self.tier.peer_port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        sender = self.role.numbers.get(address[0])
        if sender is None:
            return
        self.role.count(sender, "sent", data)  # by the real door, if it is one
        if message := self.form.unpack(sender, data):
            self.post(message)

    def ask(self, tenant: Tenant, kind: int) -> None:
        name, rule = f"{self.door:x}-{next(self.serial)}", CLASSES[kind]
        self.post(
            RequestReceived(
                name,
                kind,
                tenant.plan,
                tenant.name,
                min(1_875_000, rule.deadline_us),
                set_size=self.tier.spread,
                set_first=tenant.first,
                is_write=rule.is_write,
            )
        )

    def post(self, event: Event) -> None:
        """Hand it to the module, and do what peers hear of."""
        for action in self.gateway.handle(now_us(), event):
            if isinstance(action, SendGossip):
                for data in self.form.pack(action.peer, action.messages):
                    self.tell(action.peer, data)
            elif isinstance(action, SetTimer):
                self.ring(now_us() + action.delay_us, action.token)

    def ring(self, due_us: int, token: int) -> None:
        left = due_us - now_us()
        if left > 0:
            self.loop.call_later(max(1000, left) / 1e6, self.ring, due_us, token)
        elif self.transport and not self.transport.is_closing():
            self.post(TimerExpired(token))

    def tell(self, peer: int, data: bytes) -> None:
        self.role.count(peer, "received", data)  # by the real door, if it is one
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(data, peer_address(peer, self.tier.peer_port))

    def close(self) -> None:
        if self.transport:
            self.transport.close()


class Hollow:
    """The role `hollow` of a run."""

    def __init__(self) -> None:
        self.doors: dict[int, HollowDoor] = {}
        self.numbers: dict[str, int] = {}  # of doors, by their addresses' hosts
        self.real: dict[int, dict[str, int]] = {}
        self.asks: asyncio.Task[None] | None = None
        self.began_s, self.paused, self.skips = 0.0, False, 0

    def count(self, door: int, what: str, data: bytes) -> None:
        """A datagram that a real door sent to or received from one of these."""
        if counted := self.real.get(door):
            counted[f"{what}_datagrams"] += 1
            counted[f"{what}_bytes"] += len(data)

    async def do_begin(
        self, tier: dict[str, Any], real: list[int], hollow: list[int], others: list[int]
    ) -> dict[str, object]:
        """Stand for these doors, beside those that are real and those of another process."""
        played = Tier(**tier)
        self.numbers = {peer_address(door, 0)[0]: door for door in (*real, *hollow, *others)}
        self.real = {door: self.empty() for door in real}
        for door in hollow:
            self.doors[door] = HollowDoor(self, played, door)
            await self.doors[door].start()
        share = [
            (self.doors[door], tenant)
            for tenant in played.everyone()
            if any(played.holds(tenant, door) for door in real)
            for door in ((tenant.first + step) % played.doors for step in range(played.spread))
            if door in self.doors
        ]
        self.asks = asyncio.get_running_loop().create_task(self.ask(share, played))
        self.began_s = time.monotonic()
        return {"doors": len(hollow), "rate": sum(tenant.rate for _, tenant in share) / played.spread}

    @staticmethod
    def empty() -> dict[str, int]:
        return dict.fromkeys(("sent_datagrams", "sent_bytes", "received_datagrams", "received_bytes"), 0)

    async def ask(self, share: list[tuple[HollowDoor, Tenant]], tier: Tier) -> None:
        """The requests of the tenants that these share with real doors, at their moments."""
        if not share:
            return
        random, kinds = Random(tier.seed), [kind.share for kind in CLASSES]
        weights = list(itertools.accumulate(tenant.rate / tier.spread for _, tenant in share))
        due_s = time.monotonic()
        while True:
            due_s += random.expovariate(weights[-1])
            left = due_s - time.monotonic()
            await asyncio.sleep(max(0.0, left))  # also when behind: words are to be heard
            if left < -MOST_BEHIND_S:
                due_s = time.monotonic()
                self.skips += 1
            if self.paused:
                continue
            door, tenant = random.choices(share, cum_weights=weights)[0]
            door.ask(tenant, random.choices(range(len(CLASSES)), kinds)[0])

    async def do_take(self) -> dict[str, object]:
        """What real doors sent and received since the last look, with the seconds it took."""
        now_s = time.monotonic()
        taken: dict[str, object] = {
            "seconds": now_s - self.began_s,
            "skips": self.skips,
            "doors": {str(door): count for door, count in self.real.items()},
        }
        self.real, self.began_s, self.skips = {door: self.empty() for door in self.real}, now_s, 0
        return taken

    async def do_pause(self, on: bool) -> dict[str, object]:
        """Take no requests for a while; words that come are still answered."""
        self.paused = on
        return {}

    async def do_end(self) -> dict[str, object]:
        if self.asks:
            self.asks.cancel()
        for door in self.doors.values():
            door.close()
        self.doors.clear()
        return {}
