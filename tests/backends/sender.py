"""Fixtures of the pool tests: a sender of attempts, and a backend that never reads."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from molereach.backends.attempt import Attempt
from molereach.backends.pools import Backends
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import AttemptResult, EndpointState, LoadReport
from tests.sockets import HOST, resp

SECOND_US = 1_000_000


class Sender:
    """Sends attempts through a pool and queues their outcomes."""

    def __init__(
        self, address: EndpointAddress, idle_us: int = 30 * SECOND_US, max_connections: int = 50
    ) -> None:
        self.backends = Backends(idle_us, 200_000, max_connections)
        self.backends.update({"s": EndpointState.UP}, {"s": address}, is_full_list=True)
        self.outcomes: asyncio.Queue[tuple[AttemptResult, bytes | None, LoadReport | None]] = asyncio.Queue()

    def send(self, payload: bytes = resp("PING"), timeout_us: int = 5 * SECOND_US) -> Attempt:
        attempt = Attempt("a", 0, "s", payload, lambda _, *outcome: self.outcomes.put_nowait(outcome))
        self.backends.send(attempt, timeout_us)
        return attempt

    async def result(self) -> AttemptResult:
        return (await self.outcomes.get())[0]


@contextlib.asynccontextmanager
async def unresponsive_backend() -> AsyncIterator[tuple[EndpointAddress, socket.socket]]:
    """A listening socket that neither accepts nor reads connections, with its address."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        yield listener.getsockname(), listener
