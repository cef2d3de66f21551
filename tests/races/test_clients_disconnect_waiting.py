"""Client disconnects while requests wait in the policy: no attempt starts more than 0.1 s later.

Each wait ends after the disconnect: room under the in-flight limit, an answer of the home proxy, the time of
a retry. Waits for a connect: test_clients_disconnect.py and test_attempts_client_disconnect.py.
"""

import asyncio
import socket
import zlib
from collections.abc import Callable
from dataclasses import replace

import pytest

from molereach.clients import disconnect_watch
from molereach.clients import resp as clients
from molereach.clients.listener import READ_BYTES
from molereach.policy.interface.events import (
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    TimerExpired,
)
from molereach.policy.interface.settings import Plan
from molereach.policy.overload_control import IN_FLIGHT_PER_BACKEND
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer, run_loop_iterations, scripted_server, wait_until
from tests.races.test_clients_disconnect import EACH_DISCONNECT, disconnected_requests, record_events
from tests.sockets import CONFIG, HOST, SETTINGS, Backend, front_door, query, resp, run, submit, value

MAX_DETECTION_S = 0.1  # from a disconnect to the start of the last attempt for that client
MAX_LOOP_ITERATION_S = 0.02  # longest iteration of the loop
IN_FLIGHT_LIMIT = IN_FLIGHT_PER_BACKEND // SETTINGS.proxy_count  # attempts per backend and proxy


def set_endpoint_states(proxy: Proxy, state: EndpointState) -> None:
    """Publish this state for all endpoints, as discovery does."""
    entries = tuple(
        replace(backend.endpoint, state=state) for backend in proxy.gateway.load_balancer.backends.values()
    )
    proxy.endpoints.publish(EndpointListReceived(EndpointListKind.CHANGES, 8, entries), {})


def test_eof_behind_unread_data_is_polled_for_often_enough() -> None:
    """A closing connection that is not read is polled at this interval; others report EOF by themselves."""
    assert disconnect_watch.POLL_INTERVAL_S + MAX_LOOP_ITERATION_S < MAX_DETECTION_S


@EACH_DISCONNECT
def test_disconnect_while_the_request_waits_for_the_in_flight_limit(
    disconnect: Callable[[Peer], None],
) -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            events, other_client = record_events(proxy), Peer.connect(address)
            other_client.send(b"".join(query(f"b{number}") for number in range(IN_FLIGHT_LIMIT)))
            await wait_until(lambda: len(backend.commands) == IN_FLIGHT_LIMIT)
            peer = Peer.connect(address)
            peer.send(query("a1"))
            await wait_until(lambda: len(proxy.gateway.queue.entries) == 1)
            assert not proxy.requests.open["a1"].in_flight
            disconnect(peer)
            await wait_until(lambda: disconnected_requests(events) == ["a1"])
            for writer in backend.writers[:IN_FLIGHT_LIMIT]:
                writer.write(value(b"ok"))
            await wait_until(lambda: not proxy.requests.open)
            proxy.gateway.forward_waiting()
            await run_loop_iterations(9)
            assert [words[2] for words in backend.commands if words[2] == b"a1"] == []
            assert not proxy.gateway.attempts.pending

    run(job())


@EACH_DISCONNECT
def test_disconnect_while_the_retry_waits_for_a_backend(disconnect: Callable[[Peer], None]) -> None:
    """The only backend rejects the first attempt and drains; then it serves again."""

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            peer.send(submit("a1"))
            await wait_until(lambda: bool(backend.commands))
            set_endpoint_states(proxy, EndpointState.DRAINING)
            backend.writers[0].write(b"-BUSY\r\n")
            await wait_until(lambda: len(proxy.gateway.queue.entries) == 1)
            disconnect(peer)
            await wait_until(lambda: disconnected_requests(events) == ["a1"])
            set_endpoint_states(proxy, EndpointState.UP)
            await wait_until(lambda: proxy.gateway.load_balancer.ready != [])
            proxy.gateway.forward_waiting()
            await run_loop_iterations(9)
            assert len(backend.commands) == 1
            assert (
                not proxy.requests.open and not proxy.requests.answered and not proxy.gateway.attempts.pending
            )

    run(job())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_disconnect_during_an_attempt_prevents_a_retry(may_cancel: bool) -> None:
    """Also where settings forbid cancelling the attempt: its failure causes no retry."""

    async def job() -> None:
        with scripted_server() as backend_0, scripted_server() as backend_1:
            settings = replace(SETTINGS, may_cancel=may_cancel)
            async with front_door(addresses=[backend_0.address, backend_1.address], settings=settings) as (
                proxy,
                _,
            ):
                events, peer = record_events(proxy), Peer.connect(proxy.address)
                peer.send(query("a1"))
                await wait_until(
                    lambda: any(
                        attempt.is_written
                        for request in proxy.requests.open.values()
                        for attempt in request.in_flight.values()
                    )
                )
                attempted, unused = (
                    (backend_0, backend_1)
                    if proxy.requests.open["a1"].in_flight[0].server == "s0"
                    else (backend_1, backend_0)
                )
                backend_peer = await attempted.accept()
                peer.close()
                await wait_until(lambda: disconnected_requests(events) == ["a1"])
                if not may_cancel:
                    backend_peer.reset()  # an idempotent request would be retried
                await wait_until(lambda: not proxy.requests.answered)
                await run_loop_iterations(9)
                assert not unused.has_pending_connection() and not attempted.has_pending_connection()
                assert not proxy.gateway.attempts.pending

    run(job())


@EACH_DISCONNECT
def test_disconnect_while_the_home_proxy_is_asked(disconnect: Callable[[Peer], None]) -> None:
    """The home never answers; without the disconnect the request would be admitted by chance or rejected."""

    async def job() -> None:
        backend, home = Backend(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        home.bind((HOST, 0))
        home.setblocking(False)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as temporary:
            temporary.bind((HOST, 0))
            listen = temporary.getsockname()
        settings = replace(SETTINGS, plans=(Plan(quota_rate=5.0, quota_burst=1.0),))
        customer = next(name for name in map("{:016x}".format, range(99)) if zlib.crc32(name.encode()) % 2)
        async with front_door(
            backend, settings=settings, peer_listen=listen, peers=(listen, home.getsockname())
        ) as (proxy, address):
            assert CONFIG.settings.proxy_index == 0
            events, peer = record_events(proxy), Peer.connect(address)
            fields = "c=read,t=team,d=3000,spread=2,first=0"
            peer.send(resp("SVC.QUERY", customer, "a1", fields))
            await asyncio.get_running_loop().sock_recv(home, 2048)  # the question to the home
            assert "a1" in proxy.requests.open and not proxy.requests.open["a1"].in_flight
            disconnect(peer)
            await wait_until(lambda: disconnected_requests(events) == ["a1"])
            await wait_until(lambda: not proxy.gateway.outbox.waiting)
            event_count = len(events)
            await wait_until(
                lambda: sum(isinstance(event, TimerExpired) for event in events[event_count:]) > 0
            )
            assert backend.commands == [] and not proxy.gateway.attempts.pending
        home.close()

    run(job())


@pytest.mark.parametrize("is_half_closed", [False, True])
def test_pipelined_commands_before_a_disconnect_are_not_forwarded(is_half_closed: bool) -> None:
    """The maximum of requests is open, and a further command waits behind them: it is not forwarded."""

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            limit = clients.MAX_PIPELINED
            peer.send(b"".join(query(f"a{number}") for number in range(limit)))
            await wait_until(lambda: len(proxy.requests.open) == limit)
            (connection,) = proxy.clients.connections
            peer.send(submit("b1", body=b"x" * READ_BYTES)[: READ_BYTES + 9000 * is_half_closed])
            await wait_until(lambda: connection.buffered_bytes() >= READ_BYTES // 2)
            # The other requests wait for the limit.
            await wait_until(lambda: len(backend.commands) == IN_FLIGHT_LIMIT)
            (peer.half_close if is_half_closed else peer.close)()
            await wait_until(lambda: len(disconnected_requests(events)) == limit)
            await wait_until(lambda: all(writer.is_closing() for writer in backend.writers))  # cancelled
            proxy.gateway.forward_waiting()
            await run_loop_iterations(9)
            assert len(backend.commands) == IN_FLIGHT_LIMIT and not proxy.requests.open

    run(job())
