"""How many connections to backends there are: kept as a number, and that of the sockets."""

import asyncio

from molereach.policy.interface.events import EndpointState
from tests.backends.sender import Sender, deaf
from tests.sockets import Backend, refusing_address, run, value


def test_number_of_connections_is_that_of_all_pools_after_all_kinds_of_ends() -> None:
    """It is kept as a number, as each dial asks for it: one that is off would hold the door open or shut."""

    async def job() -> None:
        answers = [value(b"x"), b"", b"?", None, b"-BUSY\r\n"]
        backend = Backend(lambda words: answers[len(backend.commands) % len(answers)])
        at = await backend.start()
        sender = Sender(at, most=8)
        backends, seen = sender.backends, set()
        async with deaf() as (silent, _):
            for number in range(60):
                address = (at, at, refusing_address(), silent)[number % 4]
                if number % 3 == 0:  # moves: what is out stays out on the old pool
                    backends.update({"s": EndpointState.UP}, {"s": address}, True, {"s": number})
                sender.send(timeout_us=20_000)
                walked = sum(len(pool.connections) for pool in (*backends.pools.values(), *backends.retired))
                assert backends.open_connections == walked
                seen.add(walked)
                if number % 4 == 0:
                    await asyncio.sleep(0.005)
            for _ in range(60):
                await sender.result()
            backends.update({}, {}, is_full_list=True)
            async with asyncio.timeout(5):
                while any(pool.connections for pool in backends.retired):
                    await asyncio.sleep(0.005)
            assert backends.open_connections == 0 and len(seen) > 3
            backends.close()

    run(job())


def test_connection_that_is_let_go_of_twice_counts_once() -> None:
    """A dial that failed may still be told of its connection's end."""

    async def job() -> None:
        async with deaf() as (silent, _):
            sender = Sender(silent)
            sender.send()
            sender.send()
            each = sender.backends.pools["s"]
            gone = next(iter(each.connections))
            each.on_connection_lost(gone)
            each.on_connection_lost(gone)
            assert sender.backends.open_connections == len(each.connections) == 1
            sender.backends.close()

    run(job())
