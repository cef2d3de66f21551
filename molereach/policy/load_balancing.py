"""The servers known, and which of them an attempt goes to: the least expected wait among a few.

Many gateways that all took the emptiest server would flood it; so each looks at a few, by chance.
"""

from random import Random

from molereach.policy.backend_state import Server
from molereach.policy.interface.events import (
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    LoadReport,
)
from molereach.policy.interface.settings import Idempotency, Settings
from molereach.policy.pending_request import Job
from molereach.policy.time_units import SECOND_US

SMOOTH, RATE_SMOOTH = 0.1, 0.3  # weight of a new load, and of a period's sends, in a running mean
KEPT_CHOICES, HANDSHAKE_WEIGHT = 6, 10  # of these, with a connection that rests; cost of a new one
CHOICES = 8  # servers looked at for one attempt: many gateways that all take the emptiest would flood it
REPORT_FRESH_US = 1.5 * SECOND_US  # a load report older than this says nothing


class Fleet:
    """The server list with what is known of each; `random` is the gateway's chance."""

    __slots__ = ("mean_load", "random", "rate", "servers", "set", "sharers", "up", "warm")

    def __init__(self, settings: Settings, random: Random) -> None:
        self.set, self.random = settings, random
        self.servers: dict[str, Server] = {}
        self.up: list[Server] = []  # those that may be sent new work
        self.warm = 0.0  # servers' worth of capacity that is up, where a cold one counts for its part
        self.sharers = settings.proxy_count  # how many gateways share each server
        self.rate, self.mean_load = 0.0, 0.0  # first attempts a second; load of the servers, as they say

    def learn(self, now: int, news: EndpointListReceived) -> None:
        """News of the server list."""
        named = {entry.name for entry in news.endpoints}
        if news.kind is not EndpointListKind.FAILED:
            self.sharers = news.sharing_proxies or self.set.proxy_count
        part = news.kind in (
            EndpointListKind.CHANGES,
            EndpointListKind.FAILED,
        )  # after a failure the old list holds
        self.servers = {name: known for name, known in self.servers.items() if part or name in named}
        for entry in news.endpoints:
            known = self.servers.get(entry.name)
            if known is None or known.entry.started_us != entry.started_us:
                known = self.servers[entry.name] = Server(entry)
                if known.warmth(now, self.set) < 1:  # all gateways hear of it at once: each has its own time
                    known.sent_us, known.credit = now, self.random.random()
            known.entry = entry
            if entry.state is EndpointState.GONE:  # its id does not come again
                del self.servers[entry.name]
        self.up = [server for server in self.servers.values() if server.entry.state is EndpointState.UP]
        self.weigh(now)

    def weigh(self, now: int) -> None:
        self.warm = sum(server.warmth(now, self.set) for server in self.up)

    def end_period(self, now: int, sent: float, period_us: int) -> None:
        """A period is over in which so many first attempts were to be sent."""
        for server in self.servers.values():  # a slow one that is sent nothing must get its chance again
            server.slowness += SMOOTH * (1 - server.slowness)
        self.rate += (RATE_SMOOTH if self.rate else 1) * (sent * SECOND_US / period_us - self.rate)
        self.weigh(now)

    def hear_load(self, now: int, server: Server, report: LoadReport) -> None:
        """Busy cores are the signal; a count only ranks servers."""
        loads = [
            load
            for load in (report.cpu_utilization, report.in_flight, report.queue_length)
            if load is not None
        ]
        if loads:
            server.load, server.load_at = loads[0], now
            self.mean_load += SMOOTH * (loads[0] - self.mean_load)

    def choose(self, now: int, job: Job) -> Server | None:
        """The least expected wait among a few of those that the rules and their health allow."""
        free = job.ran_on is None  # nothing binds it to a group
        allowed = self.up if free else [server for server in self.up if job.may_run_on(now, server)]
        usable = [
            server
            for server in allowed
            if now >= server.avoid_until
            and server not in job.servers
            and not (server.on_trial and (server.out or job.rule.idempotency is Idempotency.NON_IDEMPOTENT))
        ] or allowed
        best, least = None, 0.0
        for server in self.candidates(now, usable):
            if (cost := self.cost(now, server)) < least or best is None:
                best, least = server, cost
        return best

    def candidates(self, now: int, usable: list[Server]) -> list[Server]:
        """A few to choose from; where connections have a price, most of them have one that rests.

        A gateway of many meets most servers seldom: those that it stays with it also knows. Cold servers
        that are due come first: what they are not sent, the warm ones must bear.
        """
        due: list[Server] = []
        kept: list[Server] = []
        others: list[Server] = []
        usual = max(1 / self.sharers, self.rate / max(1.0, self.warm))
        oldest = now - self.set.idle_connection_ttl_us
        for server in usable:
            if server.warm_from and (warmth := server.warmth(now, self.set)) < 1:
                if self.is_due(now, server, warmth, usual):
                    due.append(server)
            else:
                server.warm_from = 0  # it need not be looked at again
                (kept if server.kept and server.kept_at > oldest else others).append(server)
        few = len(usable) <= CHOICES or not self.set.handshake_price
        if few:
            room = due + kept + others
            return self.random.sample(room, min(CHOICES, len(room)))
        first = self.random.sample(due, min(len(due), CHOICES - KEPT_CHOICES))
        first += self.random.sample(kept, min(len(kept), KEPT_CHOICES))
        return first + self.random.sample(others, min(len(others), CHOICES - len(first)))

    def cost(self, now: int, server: Server) -> float:
        """Expected wait: work out there, how slow it is, how loaded it says it is."""
        load = server.load if now - server.load_at < REPORT_FRESH_US else None
        pressure = 1.0 if load is None else 0.5 + load / max(0.01, self.mean_load) / 2
        far = 1 + 10 * self.set.cross_zone_price * (server.entry.zone != self.set.zone)
        kept = server.is_kept(now, self.set.idle_connection_ttl_us)
        new = 1.0 if kept else 1 + HANDSHAKE_WEIGHT * self.set.handshake_price
        # A trial that is due goes first, and so does a cold server's part, which is spaced out.
        waits = 0 if server.on_trial or server.warmth(now, self.set) < 1 else len(server.out) + 1
        return waits * server.slowness * pressure * far * new

    def is_due(self, now: int, server: Server, warmth: float, usual: float) -> bool:
        """A server that started or came back gets its part of what warm ones are sent here, `usual` a second,
        spaced out. Over many gateways the space is longer than the warm-up, so it shrinks meanwhile."""
        since, cold = now - server.sent_us, self.set.slow_start_fraction
        then = max(cold, warmth - (1 - cold) * since / max(1, self.set.slow_start_window_us))
        return server.credit + since / SECOND_US * usual * (then + warmth) / 2 >= 1
