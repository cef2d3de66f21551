"""Idle clients fill the descriptors while discovery is down: what the front door itself needs it keeps."""

import asyncio
import contextlib
import json
from pathlib import Path

from molereach.proxy.resources import CLIENT_SOCKET_FRACTION, RESERVED_SOCKETS
from tests.races.proxy_processes import Process, processes
from tests.races.scripted_peers import Machine, Peer, machine, until
from tests.sockets import CUSTOMER, HEAD, Backend, Client, catalog, chunk, entry, resp, run, value
from tests.test_program import SETTINGS

DESCRIPTORS = 64  # that the process may have, by its configuration and by the system
PLACES = round((DESCRIPTORS - RESERVED_SOCKETS) * CLIENT_SOCKET_FRACTION)  # of them for clients
CROWD = 300
TOLD_S = 6.0  # from when discovery has a change and can be reached
AMPLE = {**SETTINGS, "plans": [{"name": "team", "units-per-s": 1000, "burst": 1000}]}


def request(name: str) -> bytes:
    return resp("SVC.QUERY", CUSTOMER, name, "c=read,t=team,d=1500")


class Crowd:
    """Idle clients, more than there are places for: those that find one are told +PONG and stay."""

    def __init__(self, door: Process, count: int) -> None:
        self.peers = [Peer.dial(door.address) for _ in range(count)]

    async def greet(self) -> int:
        """How many of them were told +PONG."""
        for peer in self.peers:
            with contextlib.suppress(OSError):  # shut unread
                peer.say(resp("PING"))
        return [await self.told(peer) for peer in self.peers].count(b"+PONG\r\n")

    async def told(self, peer: Peer) -> bytes:
        with contextlib.suppress(OSError):
            return await peer.hear()
        return b""

    def end(self) -> None:
        for peer in self.peers:
            peer.close()


def test_descriptors_full_of_idle_clients_keep_nothing_from_discovery_and_backends(tmp_path: Path) -> None:
    """A backend drains while discovery is down. That is heard within the time of the term once it is back,
    requests go to the one that has joined, and the log still says what became of discovery."""

    async def job() -> None:
        old, new = Backend(), Backend(lambda words: value(b"new"))
        known = await old.start()
        entries = [entry("s1", known)]
        with machine() as first:
            address = first.address
            door = Process(
                tmp_path / "n0",
                DESCRIPTORS,
                discovery="{}:{}".format(*address),
                limits={"sockets": DESCRIPTORS},
                settings=AMPLE,
                known=json.loads(catalog(4, entries)),
            )
            async with processes(door):
                await door.start()
                watch = await first.accept()
                await watch.hear_until(b"\r\n\r\n")
                watch.say(HEAD + chunk(catalog(5, entries)))
                client = await door.ready()
                assert await client.ask(request("a1")) == b"ok"
                first.close()
                watch.reset()  # discovery is down
                crowd = Crowd(door, CROWD)
                assert 0 < await crowd.greet() < CROWD  # not all found a place; who only pings may lose it
                await until(lambda: door.descriptors() > PLACES)  # all places are taken
                assert door.descriptors() <= DESCRIPTORS
                assert await client.ask(request("a2")) == b"ok"
                await door.said(b"no watch on discovery")  # the log is open
                joined = await new.start()
                await back(address[1], client, [entry("s1", known, "DRAINING"), entry("s2", joined)])
                crowd.end()

    run(job())


async def back(port: int, client: Client, entries: list[dict[str, object]]) -> None:
    """Discovery is there again with that list: it is asked, and its list is in force, in time."""
    again = Machine(port=port)
    async with asyncio.timeout(TOLD_S):
        watch = await again.accept()
        await watch.hear_until(b"\r\n\r\n")
        watch.say(HEAD + chunk(catalog(9, entries)))
        number = 0
        while await client.ask(request(f"b{number}")) != b"new":  # it may be read before the list is
            number += 1
    for number in range(5):
        assert await client.ask(request(f"c{number}")) == b"new"
    again.close()
