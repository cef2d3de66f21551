"""The counter of open backend connections, compared with the connections of all pools."""

import asyncio

from molereach.policy.interface.events import EndpointState
from tests.backends.sender import Sender, unresponsive_backend
from tests.sockets import Backend, refusing_address, run, value


def test_connection_counter_matches_all_pools_for_every_outcome() -> None:
    """A wrong counter would block new connections or exceed the limit."""

    async def scenario() -> None:
        answers = [value(b"x"), b"", b"?", None, b"-BUSY\r\n"]
        backend = Backend(lambda arguments: answers[len(backend.commands) % len(answers)])
        backend_address = await backend.start()
        sender = Sender(backend_address, max_connections=8)
        backends, observed_counts = sender.backends, set()
        async with unresponsive_backend() as (silent_address, _):
            for number in range(60):
                address = (backend_address, backend_address, refusing_address(), silent_address)[number % 4]
                if number % 3 == 0:  # the backend moves; attempts in flight stay on the old pool
                    backends.update({"s": EndpointState.UP}, {"s": address}, True, {"s": number})
                sender.send(timeout_us=20_000)
                pool_connections = sum(
                    len(pool.connections) for pool in (*backends.pools.values(), *backends.retired)
                )
                assert backends.open_connections == pool_connections
                observed_counts.add(pool_connections)
                if number % 4 == 0:
                    await asyncio.sleep(0.005)
            for _ in range(60):
                await sender.result()
            backends.update({}, {}, is_full_list=True)
            async with asyncio.timeout(5):
                while any(pool.connections for pool in backends.retired):
                    await asyncio.sleep(0.005)
            assert backends.open_connections == 0 and len(observed_counts) > 3
            backends.close()

    run(scenario())


def test_connection_lost_twice_is_counted_once() -> None:
    """A failed dial may still be notified of its lost connection."""

    async def scenario() -> None:
        async with unresponsive_backend() as (silent_address, _):
            sender = Sender(silent_address)
            sender.send()
            sender.send()
            pool = sender.backends.pools["s"]
            lost = next(iter(pool.connections))
            pool.on_connection_lost(lost)
            pool.on_connection_lost(lost)
            assert sender.backends.open_connections == len(pool.connections) == 1
            sender.backends.close()

    run(scenario())
