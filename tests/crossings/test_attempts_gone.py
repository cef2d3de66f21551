"""An attempt of a request that is owed nothing more: its client has gone, or it was answered.

What is not sent is withdrawn in any case; whether one that may run is called off is the settings' matter.
"""

import asyncio

from molereach.door.frontdoor import FrontDoor
from tests.crossings.wire import Peer, machine, turns, until
from tests.sockets import front_door, run, submit


async def asked(door: FrontDoor, body: bytes = b"BODY", wait_ms: int = 3000) -> Peer:
    """A client whose request has come, on a connection that was accepted before."""
    client = Peer.dial(door.address)
    await until(lambda: bool(door.clients.connections))
    client.say(submit("a1", body=body, wait_ms=wait_ms))
    return client


def test_client_that_goes_between_two_tries_has_no_second_one() -> None:
    """The outcome of the first try and the client's end are read in one turn, in that order."""

    async def job() -> None:
        with machine() as held:
            async with front_door(addresses=[held.address]) as (door, _):
                client = await asked(door)
                peer = await held.accept()
                await peer.hear_until(b"BODY")
                peer.say(b"-BUSY\r\n")  # it never ran: a second try is free
                while not door.inbox:
                    await asyncio.sleep(0)
                client.close()
                door.client_gone(next(iter(door.open.values())).reply)
                await turns(9)
                assert not held.waiting() and peer.pending() == b""
                assert not door.open and not door.ended and not door.gateway.attempts.jobs

    run(job())
