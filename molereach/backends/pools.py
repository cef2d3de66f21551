"""Connections to the backends: a pool for each, and exactly one outcome for every attempt."""

import asyncio
from collections.abc import Coroutine, Mapping
from types import MappingProxyType

from molereach.backends.attempt import Attempt
from molereach.backends.pool import Pool
from molereach.backends.reuse import FADE_S, Reuse
from molereach.clock import now_us
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import AttemptResult, EndpointState

IDLE_SHARE = 0.5  # of the backend's idle time: a request that crosses its close would end as a reset


class Backends:
    """The pools by the backends' names, and the bound on all their connections."""

    def __init__(self, idle_us: int, connect_timeout_us: int, most: int) -> None:
        self.idle_us, self.connect_s, self.most = round(idle_us * IDLE_SHARE), connect_timeout_us / 1e6, most
        self.pools: dict[str, Pool] = {}
        self.old: list[Pool] = []  # of backends that moved or went, while attempts are out on them
        self.open = 0  # connections of all pools: each dial asks for it, and must not walk all pools for that
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.reuse, self.fades_us = Reuse(), 0

    def update(
        self,
        states: dict[str, EndpointState],
        addresses: dict[str, EndpointAddress],
        whole: bool,
        started: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Take over news of the list: the whole of it, or those whose state, start or address changed.

        One that has started again is another one, also under the old address: what rests, and dials that are
        under way, may be the old one's, and end as a reset under the next request.
        """
        for name in [name for name in self.pools if whole and name not in states]:
            self.retire(name)
        for name, state in states.items():
            pool = self.pools.get(name)
            address = addresses.get(name) or (pool and pool.address)
            start = started.get(name, pool.started_us if pool else 0)
            if state is EndpointState.GONE or (pool and (pool.address, pool.started_us) != (address, start)):
                self.retire(name)
            if state is not EndpointState.GONE and address and name not in self.pools:
                self.pools[name] = Pool(self, name, address, start)
            if pool := self.pools.get(name):
                pool.wanted = state is EndpointState.UP
                if not pool.wanted:
                    pool.stop()

    def retire(self, name: str) -> None:
        if pool := self.pools.pop(name, None):
            self.old.append(pool)
            pool.stop()

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        pool = self.pools.get(attempt.server)
        if pool is None:
            attempt.finish(AttemptResult.CONNECT_FAILED)
            return
        if attempt.is_late():
            attempt.finish(AttemptResult.NOT_SENT)
            return
        attempt.limit(timeout_us)
        pool.start(attempt)

    def close_idle(self, name: str) -> None:
        if pool := self.pools.get(name):
            pool.close_idle()

    def count(self) -> int:
        return self.open

    def may_open(self) -> bool:
        """Whether a socket is free for one more, if need be that of the connection idle longest."""
        if self.count() < self.most:
            return True
        idle = [pool for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        pool = min(idle, key=lambda pool: pool.idle[0].idle_since)
        pool.idle[0].abort()
        return True

    def sweep(self) -> None:
        """Close what has stood idle long, and again in a while."""
        now = now_us()
        if now >= self.fades_us:
            self.reuse.fade()
            self.fades_us = now + round(FADE_S * 1e6)
        before = now - self.idle_us
        for pool in self.pools.values():
            pool.close_idle(before)
        self.old = [pool for pool in self.old if pool.connections]
        asyncio.get_running_loop().call_later(min(1.0, self.idle_us / 4e6), self.sweep)

    def spawn(self, job: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self.tasks[task] = None  # the loop itself holds tasks only weakly
        task.add_done_callback(lambda task: self.tasks.pop(task, None))

    def close(self) -> None:
        """End all connections and whatever else is under way."""
        for pool in (*self.pools.values(), *self.old):
            for connection in list(pool.connections):
                connection.abort()
        for task in self.tasks:
            task.cancel()
