"""A request that is over in the turn in which its next try is decided: nothing is left of it."""

import asyncio

from fennelwinch import interface as i
from tests.crossings.wire import Peer, machine, until
from tests.sockets import Backend, front_door, query, resp, run, value


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


def test_try_that_is_asked_for_while_the_answer_comes_has_an_outcome_of_its_own() -> None:
    """The module asks for one in the turn in which the value of the first goes out: what it hears of it bears
    the number that it counts it by."""

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            peer, other = Peer.dial(address), Peer.dial(address)
            other.say(resp("PING"))
            assert await other.hear_until(b"\r\n") == b"+PONG\r\n"
            peer.say(query("a1"))
            await backend.came.wait()
            told: list[i.Event] = []
            handle = door.gateway.handle

            def ask_again(now: int, event: i.Event) -> list[i.Action]:
                told.append(event)
                return [i.Send("a1", "s0", attempt=1)] if isinstance(event, i.Request) else handle(now, event)

            door.gateway.handle = ask_again
            other.say(query("b1"))
            backend.writers[0].write(value(b"ok"))
            assert await peer.hear_until(b"ok\r\n")
            await until(lambda: sum(isinstance(event, i.Outcome) for event in told) == 2)
            outcomes = [(event.attempt, event.result) for event in told if isinstance(event, i.Outcome)]
            assert outcomes == [(0, i.Result.OK), (1, i.Result.MOOT)]
            assert not door.ended

    run(job())
