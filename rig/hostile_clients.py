"""Clients that send no requests: idle ones of a crowd, and hostile ones that front doors must get rid of."""

import asyncio
import contextlib
from collections.abc import Callable

from rig.clock import now_us
from rig.door_pool import CONNECT_TIMEOUT_S
from rig.facts import Extra, Fact
from rig.sockets import Address

HOSTILE_LIMIT_S = 6.0  # within which a front door must close the connection of a hostile client
SendGarbage = Callable[[asyncio.StreamWriter], None]


async def idle_client(address: Address, leave: asyncio.Event) -> None:
    """A client of a crowd: sends one PING, then stays idle until it has to leave."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            await reader.readline()
            await leave.wait()
        finally:
            writer.close()


def half_command(writer: asyncio.StreamWriter) -> None:
    """Sends an incomplete command."""
    writer.write(b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000")


def wrong_length(writer: asyncio.StreamWriter) -> None:
    """Announces a word of excessive length."""
    writer.write(b"*4\r\n$99999999999\r\nSVC.QUERY\r\n")


def endless_count(writer: asyncio.StreamWriter) -> None:
    """Announces far more words than it sends."""
    writer.write(b"*1000000\r\n" + b"$1\r\na\r\n" * 64)


def wrong_commands(writer: asyncio.StreamWriter) -> None:
    """Sends unknown commands."""
    writer.write(b"*1\r\n$5\r\nWRONG\r\n" * 200)


def no_resp(writer: asyncio.StreamWriter) -> None:
    """Sends HTTP instead of RESP."""
    writer.write(b"GET / HTTP/1.1\r\nHost: door\r\n\r\n")


def unread_flood(writer: asyncio.StreamWriter) -> None:
    """Requests large answers and reads none, so that all buffers fill."""
    writer.write((b"*2\r\n$4\r\nPING\r\n$16384\r\n" + b"x" * 16384 + b"\r\n") * 4)


HOSTILE_CLIENTS: tuple[SendGarbage, ...] = (
    half_command,
    wrong_length,
    endless_count,
    wrong_commands,
    no_resp,
    unread_flood,
)


async def hostile_client(
    door: str, address: Address, send: SendGarbage, facts: list[Fact], down: Callable[[], bool]
) -> None:
    """One hostile client; a front door that keeps its connection is a fact for the auditor."""
    reads = send is not unread_flood
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 16)
    except (OSError, TimeoutError):
        return
    try:
        async with asyncio.timeout(HOSTILE_LIMIT_S):
            send(writer)
            while not reads or await reader.read(1 << 16):
                if not reads:
                    send(writer)
                    await writer.drain()  # blocks once the front door stops reading
    except TimeoutError:
        if not down():
            text = f"a hostile client ({send.__name__}) was kept for {HOSTILE_LIMIT_S} s"
            facts.append(Extra(now_us(), door, text))
    except OSError:
        return
    finally:
        writer.transport.abort()
