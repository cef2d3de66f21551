"""Clients that send more than is handled at once and disconnect, with the end behind what they have sent."""

import asyncio
import socket
from collections.abc import Callable

import pytest

from molereach.clients import command_buffer
from molereach.clients import resp as clients
from molereach.clients.listener import READ_BYTES
from molereach.clock import now_us
from molereach.policy.interface.actions import ForwardAttempt
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer, wait_until
from tests.races.test_clients_disconnect_waiting import MAX_DETECTION_S
from tests.sockets import Backend, Client, front_door, query, resp, run, submit, value

ANSWER_DELAY_S = 0.3  # the answers come long after the disconnect
SEND_BUFFER_BYTES = 1 << 21
FLOOD_COUNT = 1500


def record_forwarding_times(proxy: Proxy) -> list[int]:
    """Record when attempts are forwarded from now on, in microseconds."""
    times_us: list[int] = []
    forward = proxy.actions.forward

    def record(action: ForwardAttempt) -> None:
        times_us.append(now_us())
        forward(action)

    proxy.driver.handlers[ForwardAttempt] = record
    return times_us


class DelayedBackend(Backend):
    """A backend that answers each command after `ANSWER_DELAY_S`."""

    def __init__(self) -> None:
        super().__init__(self.answer_later)

    def answer_later(self, command: list[bytes]) -> None:
        writer_index = len(self.writers) - 1
        asyncio.get_running_loop().call_later(ANSWER_DELAY_S, self.write_answer, writer_index)

    def write_answer(self, writer_index: int) -> None:
        self.writers[writer_index].write(value(b"ok"))


def settlements(count: int) -> bytes:
    """Encode requests of a class that is not idempotent."""
    return b"".join(submit(f"a{number}", body=b"x" * 40) for number in range(count))


def flooding_peer(proxy_address: tuple[str, int]) -> Peer:
    """Connect a client whose kernel takes all that it sends, so that its close returns at once."""
    peer = Peer.connect(proxy_address)
    peer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return peer


@pytest.mark.parametrize("disconnect", [Peer.close, Peer.half_close])
def test_nothing_is_forwarded_for_a_client_that_sent_much_and_disconnected(
    disconnect: Callable[[Peer], None],
) -> None:
    """Guards against review case 7: EOF stayed unseen behind unread commands, which were then forwarded."""

    async def job() -> None:
        async with front_door(DelayedBackend()) as (proxy, address):
            forwarded_at_us = record_forwarding_times(proxy)
            peer = flooding_peer(address)
            peer.send(settlements(FLOOD_COUNT))
            disconnect(peer)
            disconnected_at_us = now_us()
            await wait_until(lambda: bool(proxy.clients.connections))
            await asyncio.sleep(4 * ANSWER_DELAY_S)
            late = [at for at in forwarded_at_us if at - disconnected_at_us > MAX_DETECTION_S * 1e6]
            assert late == []
            assert not proxy.clients.connections and not proxy.requests.open

    run(job())


def test_disconnect_behind_many_commands_ends_the_open_requests() -> None:
    """The maximum of requests is open before the client sends the rest and closes."""

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            peer = flooding_peer(address)
            peer.send(settlements(clients.MAX_PIPELINED))
            await wait_until(lambda: len(proxy.requests.open) == clients.MAX_PIPELINED)
            forwarded_at_us = record_forwarding_times(proxy)
            peer.send(b"".join(query(f"b{number}") for number in range(FLOOD_COUNT)))
            peer.close()
            await wait_until(lambda: not proxy.clients.connections)
            assert forwarded_at_us == [] and not proxy.requests.open

    run(job())


def test_commands_beyond_the_limit_are_rejected_in_order() -> None:
    """Each command has exactly one answer: served up to the limit, rejected beyond it, served again later."""

    async def job() -> None:
        async with front_door(Backend(lambda words: value(words[2]))) as (proxy, address):
            client = await Client.open(address)
            count = 4 * command_buffer.MAX_WAITING_BYTES // len(query("a1000"))
            client.send(b"".join(query(f"a{1000 + number}") for number in range(count)))
            answers = [await client.answer() for _ in range(count)]
            assert len(proxy.clients.connections) == 1
            served = [answer for answer in answers if answer != "-BUSY"]
            assert served == [
                b"a%d" % (1000 + index) for index, answer in enumerate(answers) if answer != "-BUSY"
            ]
            assert len(served) >= command_buffer.MAX_WAITING_BYTES // len(query("a1000"))
            assert await client.ask(query("last")) == b"last"

    run(job())


def test_client_that_sends_without_a_pause_is_answered_and_others_are_served() -> None:
    """The end of its input is never reached, so its commands are rejected."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            flooder = flooding_peer(address)
            received = 0
            loop = asyncio.get_running_loop()

            async def flood() -> None:
                number = 0
                while True:
                    await loop.sock_sendall(
                        flooder.socket, b"".join(query(f"f{number + step}") for step in range(200))
                    )
                    number += 200

            async def read_replies() -> None:
                nonlocal received
                while data := await flooder.receive():
                    received += data.count(b"\r\n")

            tasks = [asyncio.create_task(flood()), asyncio.create_task(read_replies())]
            other = await Client.open(address)
            for number in range(100):
                assert await other.ask(query(f"b{number}")) == b"ok"
            await wait_until(lambda: received > 1000)
            for connection in proxy.clients.connections:
                assert connection.buffered_bytes() <= 4 * READ_BYTES + 65536
            for task in tasks:
                task.cancel()

    run(job())


def test_more_pings_than_are_handled_at_once_are_answered_in_order() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (_, address):
            client = await Client.open(address)
            count = 3 * clients.MAX_PIPELINED
            client.send(resp("PING") * count + query("a1") + resp("PING"))
            answers = [await client.answer() for _ in range(count + 2)]
            assert answers == [b"PONG"] * count + [b"ok", b"PONG"]

    run(job())
