"""A request that is over in the turn in which its next try is decided: nothing is left of it."""

from molereach.policy.interface.actions import Action, ForwardAttempt
from molereach.policy.interface.events import AttemptEnded, AttemptResult, Event, TimerExpired
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer, machine, until
from tests.sockets import Backend, front_door, query, run, value


def written(door: Proxy, name: str) -> bool:
    return name in door.requests.open and any(
        each.is_written for each in door.requests.open[name].in_flight.values()
    )


def heard_from(door: Proxy, name: str, answer: bytes) -> None:
    """A backend's answer to the first try, in this turn and at this place among what else comes in it."""
    connection = door.requests.open[name].in_flight[0].connection
    assert connection
    connection.data_received(answer)


def test_client_that_goes_between_two_tries_has_no_second_one() -> None:
    """The refusal of the first try and the client's end come in one turn: the next try is for nobody, and the
    module does not go on counting it as out."""

    async def job() -> None:
        with machine() as one, machine() as other:
            async with front_door(addresses=[one.address, other.address]) as (door, address):
                peer = Peer.dial(address)
                peer.say(query("a1"))
                await until(lambda: written(door, "a1"))
                sent: list[str] = []
                start = door.backends.send
                door.backends.send = lambda attempt, timeout: (
                    sent.append(attempt.request_id),
                    start(attempt, timeout),
                )
                (connection,) = door.clients.connections
                heard_from(door, "a1", b"-BUSY\r\n")
                connection.eof_received()
                await until(lambda: not door.requests.open and not door.gateway.attempts.pending)
                assert sent == [] and not door.requests.answered
                assert not any(server.in_flight for server in door.gateway.load_balancer.backends.values())

    run(job())


def test_try_that_is_asked_for_while_the_answer_comes_has_an_outcome_of_its_own() -> None:
    """The module asks for one in the turn in which the value of the first goes out: what it hears of it bears
    the number that it counts it by."""

    async def job() -> None:
        async with front_door(Backend(lambda words: None)) as (door, address):
            peer = Peer.dial(address)
            peer.say(query("a1"))
            await until(lambda: written(door, "a1"))
            told: list[Event] = []
            asks = TimerExpired(-1)  # none of the module's own
            handle = door.gateway.handle

            def ask_again(now: int, event: Event) -> list[Action]:
                told.append(event)
                return [ForwardAttempt("a1", "s0", attempt=1)] if event == asks else handle(now, event)

            door.gateway.handle = ask_again
            door.driver.post(asks)
            heard_from(door, "a1", value(b"ok"))
            assert await peer.hear_until(b"ok\r\n")
            await until(lambda: sum(isinstance(event, AttemptEnded) for event in told) == 2)
            outcomes = [(event.attempt, event.result) for event in told if isinstance(event, AttemptEnded)]
            assert outcomes == [(0, AttemptResult.OK), (1, AttemptResult.NOT_SENT)]
            assert not door.requests.answered

    run(job())
