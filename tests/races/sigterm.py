"""Helpers of the SIGTERM tests: shortened shutdown times and actions at the moment of a given step."""

import asyncio
from collections.abc import Callable

import pytest

from molereach.endpoint_address import EndpointAddress
from molereach.proxy import graceful_shutdown
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer
from tests.sockets import query

OK = b"$2\r\nok\r\n"
FAILED = b"-ERR failed\r\n"
SHUTTING_DOWN = b"-ERR the front door ends\r\n"


def shorten_shutdown_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Divide the shutdown times by ten: SIGKILL comes 0.37 s after SIGTERM with deadlines of 3 s or more."""
    for name in (
        "MAX_DEADLINE_US",
        "KILL_GRACE_US",
        "RESPONSE_MARGIN_US",
        "MIN_SERVICE_TIME_US",
        "DISCONNECT_SETTLE_US",
        "QUIET_PERIOD_US",
    ):
        monkeypatch.setattr(graceful_shutdown, name, getattr(graceful_shutdown, name) // 10)


def run_before(owner: object, name: str, action: Callable[[], object]) -> None:
    """Run `action` right before each call of a method, in the same iteration of the loop."""
    method = getattr(owner, name)

    def run_both(*args: object) -> object:
        action()
        return method(*args)

    setattr(owner, name, run_both)


async def drain(proxy: Proxy) -> None:
    """Drain the proxy; the timeout only bounds a hang."""
    async with asyncio.timeout(10):
        await proxy.drain()


def connect_and_query(address: EndpointAddress, name: str) -> Peer:
    client = Peer.connect(address)
    client.send(query(name))
    return client


def is_answer(data: bytes) -> bool:
    """Whether this is exactly one answer: a value, or an error that too little time is left."""
    return data == OK or (data[:1] == b"-" and data.index(b"\r\n") == len(data) - 2)
