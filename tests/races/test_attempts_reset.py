"""Connections that a backend closes or resets before, at and after the last byte of the request."""

from collections.abc import Callable

import pytest

from molereach.backends import pool
from molereach.policy.interface.events import (
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)
from tests.races.attempt_sender import Sender
from tests.races.scripted_peers import HeldConnects, Peer, ScriptedServer, scripted_server, wait_until
from tests.sockets import Backend, Client, front_door, query, run, submit, value

CLOSE_ACTIONS = [Peer.close, Peer.reset, lambda peer: peer.send(b"-BUSY\r\n") or peer.close()]


class EndingFirstConnect(HeldConnects):
    """The backend ends the proxy's first connection before the proxy has written to it."""

    def __init__(self, backend: ScriptedServer, close: Callable[[Peer], None]) -> None:
        super().__init__()
        self.backend, self.close, self.ended_count = backend, close, 0

    async def hold(self, *args: object, **kwargs: object) -> object:
        connected = await self.connect(*args, **kwargs)
        if args[-1] == self.backend.address[1] and not self.ended_count:
            self.ended_count += 1
            sock, _ = self.backend.listener.accept()
            self.close(Peer(sock))
        return connected


@pytest.mark.parametrize("close", CLOSE_ACTIONS)
def test_non_idempotent_request_is_retried_when_a_new_connection_closes_before_any_write(
    close: Callable[[Peer], None],
) -> None:
    """A backend with too many connections accepts one and closes it: a non-idempotent request is sent
    elsewhere."""

    async def job() -> None:
        other = Backend()
        with scripted_server() as backend:
            async with front_door(other, addresses=[backend.address]) as (proxy, address):
                client = await Client.open(address)
                with EndingFirstConnect(backend, close) as connects:
                    for number in range(50):
                        assert await client.ask(submit(f"a{number}")) == b"ok"
                        proxy.backends.close_idle("s1")
                        if connects.ended_count:
                            break
                    assert connects.ended_count

    run(job())


def test_reset_between_the_last_check_and_the_write_fails_as_unsent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The kernel refuses the write and takes none of it."""

    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            sender.send(b"first")
            peer = await backend.accept()
            await peer.receive_until(b"first")
            peer.send(value(b"ok"))
            await wait_until(lambda: sender.results == [AttemptResult.OK])
            next(iter(sender.backends.pools["s"].idle)).idle_since_us = 0  # above the minimum idle time
            monkeypatch.setattr(pool, "has_unread", lambda transport: peer.reset())
            sender.send(b"second")
            await wait_until(lambda: len(sender.results) == 2)
            assert sender.results[1] is AttemptResult.CONNECT_FAILED
            sender.backends.close()

    run(job())


def removed_endpoint() -> Endpoint:
    return Endpoint("s0", 0, 0, 0, EndpointState.REMOVED)


@pytest.mark.parametrize("partial_response", [b"", b"*3\r\n$2\r\no", b"-ERR fai"])
@pytest.mark.parametrize("close", [Peer.close, Peer.reset])
def test_reset_after_the_last_byte_or_within_a_response_may_have_run(
    close: Callable[[Peer], None], partial_response: bytes
) -> None:
    """A non-idempotent request fails, an idempotent one is sent elsewhere; each gets one answer."""

    async def job() -> None:
        other = Backend()
        with scripted_server() as backend:
            async with front_door(addresses=[backend.address]) as (proxy, address):
                for request, answer in ((submit("a1"), "-ERR failed"), (query("a2"), b"ok")):
                    client = await Client.open(address)
                    client.send(request)
                    peer = await backend.accept()
                    await peer.receive_until(b"d=")
                    if partial_response:
                        peer.send(partial_response)
                    if answer == b"ok":
                        endpoint = Endpoint("other", 0, 0, 0, EndpointState.UP)
                        update = EndpointListReceived(
                            EndpointListKind.CHANGES, 8, (endpoint, removed_endpoint())
                        )
                        proxy.endpoints.publish(update, {"other": await other.start()})
                    close(peer)
                    assert await client.answer() == answer
                    assert not backend.has_pending_connection()  # a non-idempotent request is not retried
                    assert await client.ask(b"*1\r\n$4\r\nPING\r\n") == b"PONG"  # no other answer came
                    assert not proxy.requests.open and not proxy.requests.answered
                assert len(other.commands) == 1

    run(job())
