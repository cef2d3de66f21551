"""What the tests of the end by SIGTERM share: its times made short, and acts in the instant of a step."""

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
ENDS = b"-ERR the front door ends\r\n"


def shorten(monkeypatch: pytest.MonkeyPatch) -> None:
    """The times of the end, a tenth: killed 0.37 s after SIGTERM where deadlines are 3 s or more."""
    for name in (
        "MAX_DEADLINE_US",
        "KILL_GRACE_US",
        "RESPONSE_MARGIN_US",
        "MIN_SERVICE_TIME_US",
        "DISCONNECT_SETTLE_US",
        "QUIET_PERIOD_US",
    ):
        monkeypatch.setattr(graceful_shutdown, name, getattr(graceful_shutdown, name) // 10)


def before(owner: object, name: str, act: Callable[[], object]) -> None:
    """Have `act` done in the instant of a step, with no turn of the loop between."""
    step = getattr(owner, name)

    def both(*args: object) -> object:
        act()
        return step(*args)

    setattr(owner, name, both)


async def drained(door: Proxy) -> None:
    """A drain, within a time that only a hang takes."""
    async with asyncio.timeout(10):
        await door.drain()


def dial_and_ask(address: EndpointAddress, name: str) -> Peer:
    client = Peer.dial(address)
    client.say(query(name))
    return client


def is_answer(data: bytes) -> bool:
    """One whole answer and nothing more: a value, or a word that near the kill there is no time for one."""
    return data == OK or (data[:1] == b"-" and data.index(b"\r\n") == len(data) - 2)
