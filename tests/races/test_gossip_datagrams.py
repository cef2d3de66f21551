"""Datagrams at the proxy's gossip address: from strangers, malformed, or about sets without this proxy."""

import asyncio
import logging
import random
import socket
from dataclasses import replace

import pytest

from molereach.policy.interface.actions import SendGossip
from molereach.policy.interface.messages import GossipMessage
from molereach.protocol.gossip_codec import MAX_DATAGRAM_BYTES, RECORD, pack_messages, unpack_messages
from tests.sockets import HOST, SETTINGS, Client, front_door, resp, run

CUSTOMER_OF_PROXY_0 = 4  # checksum of a customer whose home is the first of a set of two


def datagram_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((HOST, 0))
    sock.setblocking(False)
    return sock


def question(customer: int, first: int = 0, size: int = 2, plan: int = 0) -> GossipMessage:
    return GossipMessage(customer, plan, first, size, demand=1.0, requested_units=1.0, tokens=9.0)


def test_only_valid_messages_of_peers_are_accepted(caplog: pytest.LogCaptureFixture) -> None:
    """All datagrams have arrived before the loop continues; the only reply is to the valid question, sent
    last."""

    async def job() -> None:
        sock, peer, stranger = datagram_socket(), datagram_socket(), datagram_socket()
        listen = sock.getsockname()
        sock.close()  # the proxy binds the address next
        async with front_door(peer_listen=listen, peers=(listen, peer.getsockname())) as (proxy, address):
            valid_datagram = pack_messages([question(CUSTOMER_OF_PROXY_0)])[0]
            stranger.sendto(pack_messages([question(CUSTOMER_OF_PROXY_0 + 2)])[0], listen)
            rng = random.Random(5)
            for size in (
                0,
                1,
                RECORD.size - 1,
                RECORD.size + 1,
                MAX_DATAGRAM_BYTES - 1,
                MAX_DATAGRAM_BYTES + 1,
                1400,
            ):
                peer.sendto(rng.randbytes(size), listen)
            peer.sendto(valid_datagram * 15, listen)  # complete messages, but longer than a datagram may be
            foreign_questions = [
                question(8, 1, 1),
                question(8, size=3),
                question(8, first=9),
                question(8, size=0),
                question(8, plan=7),
            ]
            peer.sendto(pack_messages(foreign_questions)[0], listen)
            peer.sendto(valid_datagram, listen)
            loop = asyncio.get_running_loop()
            (reply,) = unpack_messages(await loop.sock_recv(peer, 2048))
            assert reply.is_reply and reply.customer_checksum == CUSTOMER_OF_PROXY_0
            assert [key[0] for key in proxy.gateway.customers.accounts] == [CUSTOMER_OF_PROXY_0]
            assert not [record for record in caplog.records if record.levelno >= logging.ERROR]
            client = await Client.open(address)
            assert await client.ask(resp("PING")) == b"PONG"
            for sock in (peer, stranger):
                sock.close()

    run(job())


def test_proxy_keeps_serving_whatever_a_peer_sends() -> None:
    """Messages of random bits and the right length: the policy bounds the values."""

    async def job() -> None:
        with datagram_socket() as temporary:
            listen = temporary.getsockname()
        peer, rng = datagram_socket(), random.Random(11)
        async with front_door(peer_listen=listen, peers=(listen, peer.getsockname())):
            for _ in range(200):
                peer.sendto(rng.randbytes(RECORD.size * rng.randrange(1, 12)), listen)
            peer.sendto(pack_messages([question(CUSTOMER_OF_PROXY_0)])[0], listen)
            replied_customers: set[int] = set()
            while CUSTOMER_OF_PROXY_0 not in replied_customers:
                data = await asyncio.get_running_loop().sock_recv(peer, 2048)
                assert len(data) <= MAX_DATAGRAM_BYTES
                replied_customers |= {message.customer_checksum for message in unpack_messages(data)}
            peer.close()

    run(job())


def test_packed_datagrams_stay_within_the_size_limit() -> None:
    questions = [question(number) for number in range(100)]
    questions += [replace(questions[0], demand=1e9, requested_units=1e9, tokens=-1e9, spent_units=-1e9)]
    messages = pack_messages(questions)
    assert max(map(len, messages)) <= MAX_DATAGRAM_BYTES
    assert sum(len(unpack_messages(data)) for data in messages) == 101


def test_unreachable_peer_does_not_stop_gossip_to_the_others() -> None:
    """The system reports at once that an address is unreachable; the datagram socket must stay open."""

    async def job() -> None:
        with datagram_socket() as temporary:
            listen = temporary.getsockname()
        peer = datagram_socket()
        unreachable = ("255.255.255.255", 9)  # refused to sockets without SO_BROADCAST
        settings = replace(SETTINGS, proxy_count=3)
        peers = (listen, unreachable, peer.getsockname())
        async with front_door(peer_listen=listen, peers=peers, settings=settings) as (proxy, _):
            for number in (1, 2):
                proxy.gossip.send(SendGossip(number, (question(CUSTOMER_OF_PROXY_0),)))
            assert unpack_messages(await asyncio.get_running_loop().sock_recv(peer, 2048))
            peer.sendto(pack_messages([question(6, size=3)])[0], listen)
            await asyncio.get_running_loop().sock_recv(peer, 2048)
            peer.close()

    run(job())
