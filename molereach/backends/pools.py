"""The connection pools of all backends; every attempt has exactly one outcome."""

import asyncio
from collections.abc import Coroutine, Mapping
from types import MappingProxyType

from molereach.backends.attempt import Attempt
from molereach.backends.idle_reuse import HALF_LIFE_S, IdleReuse
from molereach.backends.pool import BackendPool
from molereach.clock import now_us
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import AttemptResult, EndpointState

# Fraction of the backends' idle timeout after which connections are closed here: a request sent while the
# backend closes its connection would be reset.
IDLE_FRACTION = 0.5
MAX_SWEEP_INTERVAL_S = 1.0
SWEEPS_PER_IDLE_TIMEOUT = 4


class Backends:
    """Connection pools by backend name, with a limit on the connections of all pools."""

    def __init__(self, idle_us: int, connect_timeout_us: int, max_connections: int) -> None:
        """`idle_us` is the idle timeout of the backends; at most `max_connections` are open at a time."""
        self.idle_us = round(idle_us * IDLE_FRACTION)
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.max_connections = max_connections
        self.pools: dict[str, BackendPool] = {}
        self.retired: list[BackendPool] = []  # pools of moved or removed backends with attempts in flight
        self.open_connections = 0  # of all pools; a counter, as each dial reads it
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.idle_reuse = IdleReuse()
        self.next_decay_us = 0

    def update(
        self,
        states: dict[str, EndpointState],
        addresses: dict[str, EndpointAddress],
        is_full_list: bool,
        started_us: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Apply a full endpoint list (`is_full_list`) or an update with the changed endpoints.

        A restarted backend gets a new pool, even under the same address: idle and pending connections may
        belong to the old process and would reset the next request.
        """
        for name in [name for name in self.pools if is_full_list and name not in states]:
            self.retire(name)
        for name, state in states.items():
            pool = self.pools.get(name)
            address = addresses.get(name) or (pool and pool.address)
            start_us = started_us.get(name, pool.started_us if pool else 0)
            if state is EndpointState.REMOVED or (
                pool and (pool.address, pool.started_us) != (address, start_us)
            ):
                self.retire(name)
            if state is not EndpointState.REMOVED and address and name not in self.pools:
                self.pools[name] = BackendPool(self, name, address, start_us)
            if pool := self.pools.get(name):
                pool.accepts_attempts = state is EndpointState.UP
                if not pool.accepts_attempts:
                    pool.stop()

    def retire(self, name: str) -> None:
        """Stop a backend's pool and keep it until its last connection is closed."""
        if pool := self.pools.pop(name, None):
            self.retired.append(pool)
            pool.stop()

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Send an attempt; its outcome is reported exactly once, within the timeout."""
        pool = self.pools.get(attempt.server)
        if pool is None:
            attempt.finish(AttemptResult.CONNECT_FAILED)
            return
        if attempt.is_past_write_deadline():
            attempt.finish(AttemptResult.NOT_SENT)
            return
        attempt.start_timers(timeout_us)
        pool.start(attempt)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a backend."""
        if pool := self.pools.get(name):
            pool.close_idle()

    def may_open(self) -> bool:
        """Whether the limit permits one more connection, if necessary after closing the longest idle one."""
        if self.open_connections < self.max_connections:
            return True
        idle_pools = [pool for pool in self.pools.values() if pool.idle]
        if not idle_pools:
            return False
        pool = min(idle_pools, key=lambda pool: pool.idle[0].idle_since_us)
        pool.idle[0].abort()
        return True

    def sweep(self) -> None:
        """Close connections whose idle time has expired and schedule the next sweep."""
        current_us = now_us()
        if current_us >= self.next_decay_us:
            self.idle_reuse.decay()
            self.next_decay_us = current_us + round(HALF_LIFE_S * 1e6)
        idle_before_us = current_us - self.idle_us
        for pool in self.pools.values():
            pool.close_idle(idle_before_us)
        self.retired = [pool for pool in self.retired if pool.connections]
        interval_s = min(MAX_SWEEP_INTERVAL_S, self.idle_us / (SWEEPS_PER_IDLE_TIMEOUT * 1e6))
        asyncio.get_running_loop().call_later(interval_s, self.sweep)

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task, which `close` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks[task] = None  # the event loop keeps only weak references to tasks
        task.add_done_callback(lambda task: self.tasks.pop(task, None))

    def close(self) -> None:
        """Abort all connections and cancel all tasks."""
        for pool in (*self.pools.values(), *self.retired):
            for connection in list(pool.connections):
                connection.abort()
        for task in self.tasks:
            task.cancel()
