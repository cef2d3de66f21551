"""A request that ends in the loop iteration in which its next attempt is decided leaves no state behind."""

from molereach.policy.interface.actions import Action, ForwardAttempt
from molereach.policy.interface.events import AttemptEnded, AttemptResult, Event, TimerExpired
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer, scripted_server, wait_until
from tests.sockets import Backend, front_door, query, run, value


def is_written(proxy: Proxy, name: str) -> bool:
    return name in proxy.requests.open and any(
        attempt.is_written for attempt in proxy.requests.open[name].in_flight.values()
    )


def deliver_response(proxy: Proxy, name: str, answer: bytes) -> None:
    """Deliver a backend's response to the first attempt now, before or after the other events of this
    iteration."""
    connection = proxy.requests.open[name].in_flight[0].connection
    assert connection
    connection.data_received(answer)


def test_disconnect_between_two_attempts_prevents_the_second_one() -> None:
    """The rejection of the first attempt and the client's EOF arrive in one loop iteration: no second attempt
    is sent, and the policy does not count one as in flight."""

    async def job() -> None:
        with scripted_server() as backend_0, scripted_server() as backend_1:
            async with front_door(addresses=[backend_0.address, backend_1.address]) as (proxy, address):
                peer = Peer.connect(address)
                peer.send(query("a1"))
                await wait_until(lambda: is_written(proxy, "a1"))
                sent: list[str] = []
                original_send = proxy.backends.send
                proxy.backends.send = lambda attempt, timeout: (
                    sent.append(attempt.request_id),
                    original_send(attempt, timeout),
                )
                (connection,) = proxy.clients.connections
                deliver_response(proxy, "a1", b"-BUSY\r\n")
                connection.eof_received()
                await wait_until(lambda: not proxy.requests.open and not proxy.gateway.attempts.pending)
                assert sent == [] and not proxy.requests.answered
                assert not any(backend.in_flight for backend in proxy.gateway.load_balancer.backends.values())

    run(job())


def test_attempt_requested_while_the_answer_is_sent_gets_its_own_result() -> None:
    """The policy requests an attempt in the loop iteration in which the value of the first one is sent; the
    result that it receives carries the number of that attempt."""

    async def job() -> None:
        async with front_door(Backend(lambda words: None)) as (proxy, address):
            peer = Peer.connect(address)
            peer.send(query("a1"))
            await wait_until(lambda: is_written(proxy, "a1"))
            events: list[Event] = []
            trigger = TimerExpired(-1)  # not a timer of the policy
            handle = proxy.gateway.handle

            def request_another_attempt(now: int, event: Event) -> list[Action]:
                events.append(event)
                return [ForwardAttempt("a1", "s0", attempt=1)] if event == trigger else handle(now, event)

            proxy.gateway.handle = request_another_attempt
            proxy.driver.post(trigger)
            deliver_response(proxy, "a1", value(b"ok"))
            assert await peer.receive_until(b"ok\r\n")
            await wait_until(lambda: sum(isinstance(event, AttemptEnded) for event in events) == 2)
            results = [(event.attempt, event.result) for event in events if isinstance(event, AttemptEnded)]
            assert results == [(0, AttemptResult.OK), (1, AttemptResult.NOT_SENT)]
            assert not proxy.requests.answered

    run(job())
