"""A client that goes in the turn in which its next try is decided: nothing is left of it."""

import asyncio

from tests.crossings.wire import Peer, machine, until
from tests.sockets import front_door, query, run


def test_client_that_goes_between_two_tries_has_no_second_one() -> None:
    """The refusal of the first try and the client's end come in one turn: the next try is for nobody, and the
    module does not go on counting it as out."""

    async def job() -> None:
        with machine() as one, machine() as other:
            async with front_door(addresses=[one.address, other.address]) as (door, address):
                peer = Peer.dial(address)
                peer.say(query("a1"))
                first, second = (asyncio.create_task(each.accept()) for each in (one, other))
                done, _ = await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)
                backend = done.pop().result()
                await backend.hear_until(b"a1")
                sent: list[str] = []
                start = door.backends.send
                door.backends.send = lambda attempt, timeout: (sent.append(attempt.request_id),
                                                               start(attempt, timeout))
                backend.say(b"-BUSY\r\n")
                peer.close()
                await until(lambda: not door.open and not door.gateway.attempts.jobs)
                assert sent == [] and not door.ended
                assert not any(server.out for server in door.gateway.fleet.servers.values())
                for each in (first, second):
                    each.cancel()

    run(job())
