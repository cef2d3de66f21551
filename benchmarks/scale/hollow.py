"""Simulated front doors, many in one process, which act only as peers of the real ones.

Each is the policy module with a datagram socket at its address: it receives the requests of the tenants that
it shares with a real door, at their rates, and sends and receives gossip as a real door does. It has no
clients, no discovery and no backend connections: a request that its quota admits counts as served.
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

MAX_BEHIND_S = 0.5  # when later than this, due requests are dropped and counted as one skip
DATAGRAM_HEADER_BYTES = 28  # headers of IPv4 and UDP


def configuration(tier: Tier, door: int) -> Config:
    """Return the configuration of a real door of that number, but for the other doors' addresses."""
    unused = "127.0.0.1:1"
    values = {
        "name": f"hollow-{door}",
        "listen": unused,
        "discovery": unused,
        "peer_listen": unused,
        "peers": [unused],
        "seed": f"{door:x}",
        "settings": tier.settings(door),
    }
    return parse(values, {})


class ImmediateGateway(Gateway):
    """A gateway whose requests count as served once their quota and ceiling admit them.

    The choice of a server and its results are left out; they cause no messages to peers.
    """

    def forward_waiting(self) -> None:
        """Close every waiting request that is below its ceiling."""
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


class SimulatedDoor(asyncio.DatagramProtocol):
    """One simulated front door."""

    def __init__(self, role: "SimulatedDoors", tier: Tier, door: int) -> None:
        self.role, self.tier, self.door = role, tier, door
        self.gateway, self.codec = ImmediateGateway(configuration(tier, door).settings), QuotaGossipCodec()
        self.loop, self.serial = asyncio.get_running_loop(), itertools.count()
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the datagram socket."""
        await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=peer_address(self.door, self.tier.peer_port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Pass a peer's gossip to the gateway."""
        sender = self.role.numbers.get(address[0])
        if sender is None:
            return
        self.role.count(sender, "sent", data)  # by the real door, if it is one
        if message := self.codec.unpack(sender, data):
            self.handle_event(message)

    def request(self, tenant: Tenant, kind: int) -> None:
        """Pass a tenant's request of a class to the gateway."""
        name, request_class = f"{self.door:x}-{next(self.serial)}", CLASSES[kind]
        self.handle_event(
            RequestReceived(
                name,
                kind,
                tenant.plan,
                tenant.name,
                min(1_875_000, request_class.deadline_us),
                set_size=self.tier.spread,
                set_first=tenant.first,
                is_write=request_class.is_write,
            )
        )

    def handle_event(self, event: Event) -> None:
        """Pass an event to the gateway and carry out the actions that concern peers and timers."""
        for action in self.gateway.handle(now_us(), event):
            if isinstance(action, SendGossip):
                for data in self.codec.pack(action.peer, action.messages):
                    self.send_datagram(action.peer, data)
            elif isinstance(action, SetTimer):
                self.expire_timer(now_us() + action.delay_us, action.token)

    def expire_timer(self, due_us: int, token: int) -> None:
        """Pass a timer to the gateway once it is due."""
        remaining = due_us - now_us()
        if remaining > 0:
            self.loop.call_later(max(1000, remaining) / 1e6, self.expire_timer, due_us, token)
        elif self.transport and not self.transport.is_closing():
            self.handle_event(TimerExpired(token))

    def send_datagram(self, peer: int, data: bytes) -> None:
        """Send a datagram to a peer."""
        self.role.count(peer, "received", data)  # by the real door, if it is one
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(data, peer_address(peer, self.tier.peer_port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport:
            self.transport.close()


class SimulatedDoors:
    """The role `hollow` of a run."""

    def __init__(self) -> None:
        self.doors: dict[int, SimulatedDoor] = {}
        self.numbers: dict[str, int] = {}  # door numbers by the host of their address
        self.real: dict[int, dict[str, int]] = {}
        self.request_task: asyncio.Task[None] | None = None
        self.counted_since_s, self.paused, self.skips = 0.0, False, 0

    def count(self, door: int, direction: str, data: bytes) -> None:
        """Count a datagram that a real door sent to or received from a simulated one."""
        if counted := self.real.get(door):
            counted[f"{direction}_datagrams"] += 1
            counted[f"{direction}_bytes"] += len(data)

    async def do_begin(
        self, tier: dict[str, Any], real: list[int], simulated: list[int], others: list[int]
    ) -> dict[str, object]:
        """Simulate some doors beside the `real` ones and the `others` of another process."""
        running_tier = Tier(**tier)
        self.numbers = {peer_address(door, 0)[0]: door for door in (*real, *simulated, *others)}
        self.real = {door: self.zero_counts() for door in real}
        for door in simulated:
            self.doors[door] = SimulatedDoor(self, running_tier, door)
            await self.doors[door].start()
        shared_tenants = [
            (self.doors[door], tenant)
            for tenant in running_tier.all_tenants()
            if any(running_tier.has_tenant(tenant, door) for door in real)
            for door in ((tenant.first + step) % running_tier.doors for step in range(running_tier.spread))
            if door in self.doors
        ]
        self.request_task = asyncio.get_running_loop().create_task(self.request(shared_tenants, running_tier))
        self.counted_since_s = time.monotonic()
        return {
            "doors": len(simulated),
            "rate": sum(tenant.rate for _, tenant in shared_tenants) / running_tier.spread,
        }

    @staticmethod
    def zero_counts() -> dict[str, int]:
        """Return counts of zero."""
        return dict.fromkeys(("sent_datagrams", "sent_bytes", "received_datagrams", "received_bytes"), 0)

    async def request(self, shared_tenants: list[tuple[SimulatedDoor, Tenant]], tier: Tier) -> None:
        """Generate the requests of the tenants shared with real doors, at their times."""
        if not shared_tenants:
            return
        random, class_shares = Random(tier.seed), [kind.share for kind in CLASSES]
        weights = list(itertools.accumulate(tenant.rate / tier.spread for _, tenant in shared_tenants))
        due_s = time.monotonic()
        while True:
            due_s += random.expovariate(weights[-1])
            remaining = due_s - time.monotonic()
            await asyncio.sleep(max(0.0, remaining))  # also when behind, so that gossip is received
            if remaining < -MAX_BEHIND_S:
                due_s = time.monotonic()
                self.skips += 1
            if self.paused:
                continue
            door, tenant = random.choices(shared_tenants, cum_weights=weights)[0]
            door.request(tenant, random.choices(range(len(CLASSES)), class_shares)[0])

    async def do_take(self) -> dict[str, object]:
        """Return what real doors have sent and received since the last call, and the seconds since."""
        now_s = time.monotonic()
        taken: dict[str, object] = {
            "seconds": now_s - self.counted_since_s,
            "skips": self.skips,
            "doors": {str(door): count for door, count in self.real.items()},
        }
        self.real, self.counted_since_s, self.skips = (
            {door: self.zero_counts() for door in self.real},
            now_s,
            0,
        )
        return taken

    async def do_pause(self, on: bool) -> dict[str, object]:
        """Generate no requests while `on`; gossip is still answered."""
        self.paused = on
        return {}

    async def do_end(self) -> dict[str, object]:
        """Stop the requests and close all doors."""
        if self.request_task:
            self.request_task.cancel()
        for door in self.doors.values():
            door.close()
        self.doors.clear()
        return {}
