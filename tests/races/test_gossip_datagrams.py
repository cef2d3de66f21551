"""Datagrams at a front door's address: what strangers send, what cannot be read, and sets it is not in."""

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

HOME_0 = 4  # a customer's checksum: the first of a set of two is its home


def datagrams() -> socket.socket:
    own = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    own.bind((HOST, 0))
    own.setblocking(False)
    return own


def ask(customer: int, first: int = 0, size: int = 2, plan: int = 0) -> GossipMessage:
    return GossipMessage(customer, plan, first, size, demand=1.0, requested_units=1.0, tokens=9.0)


def test_only_good_words_of_a_peer_are_heard(caplog: pytest.LogCaptureFixture) -> None:
    """All has come before the loop goes on; the first and only answer is that to the good ask, sent last."""

    async def job() -> None:
        own, peer, stranger = datagrams(), datagrams(), datagrams()
        listen = own.getsockname()
        own.close()  # from now on the front door's
        async with front_door(peer_listen=listen, peers=(listen, peer.getsockname())) as (door, address):
            good = pack_messages([ask(HOME_0)])[0]
            stranger.sendto(pack_messages([ask(HOME_0 + 2)])[0], listen)
            drawn = random.Random(5)
            for size in (
                0,
                1,
                RECORD.size - 1,
                RECORD.size + 1,
                MAX_DATAGRAM_BYTES - 1,
                MAX_DATAGRAM_BYTES + 1,
                1400,
            ):
                peer.sendto(drawn.randbytes(size), listen)
            peer.sendto(good * 15, listen)  # whole words, but longer than a message may be
            others = [ask(8, 1, 1), ask(8, size=3), ask(8, first=9), ask(8, size=0), ask(8, plan=7)]
            peer.sendto(pack_messages(others)[0], listen)
            peer.sendto(good, listen)
            loop = asyncio.get_running_loop()
            (answer,) = unpack_messages(await loop.sock_recv(peer, 2048))
            assert answer.is_reply and answer.customer_checksum == HOME_0
            assert [key[0] for key in door.gateway.customers.accounts] == [HOME_0]
            assert not [record for record in caplog.records if record.levelno >= logging.ERROR]
            client = await Client.open(address)
            assert await client.ask(resp("PING")) == b"PONG"
            for left in (peer, stranger):
                left.close()

    run(job())


def test_whatever_a_peer_sends_the_door_serves_on() -> None:
    """Words of any bits, of the right length: what they may hold is bounded in the decisions."""

    async def job() -> None:
        with datagrams() as free:
            listen = free.getsockname()
        peer, drawn = datagrams(), random.Random(11)
        async with front_door(peer_listen=listen, peers=(listen, peer.getsockname())):
            for _ in range(200):
                peer.sendto(drawn.randbytes(RECORD.size * drawn.randrange(1, 12)), listen)
            peer.sendto(pack_messages([ask(HOME_0)])[0], listen)
            heard: set[int] = set()
            while HOME_0 not in heard:
                data = await asyncio.get_running_loop().sock_recv(peer, 2048)
                assert len(data) <= MAX_DATAGRAM_BYTES
                heard |= {word.customer_checksum for word in unpack_messages(data)}
            peer.close()

    run(job())


def test_datagrams_stay_within_the_bound_whatever_is_told() -> None:
    words = [ask(number) for number in range(100)]
    words += [replace(words[0], demand=1e9, requested_units=1e9, tokens=-1e9, spent_units=-1e9)]
    messages = pack_messages(words)
    assert max(map(len, messages)) <= MAX_DATAGRAM_BYTES
    assert sum(len(unpack_messages(data)) for data in messages) == 101


def test_peer_that_cannot_be_reached_takes_no_way_to_the_others() -> None:
    """The system says at once that there is no way to an address; the datagram's socket must live on."""

    async def job() -> None:
        with datagrams() as free:
            listen = free.getsockname()
        peer = datagrams()
        nowhere = ("255.255.255.255", 9)  # refused to whoever did not ask for broadcast
        settings = replace(SETTINGS, proxy_count=3)
        peers = (listen, nowhere, peer.getsockname())
        async with front_door(peer_listen=listen, peers=peers, settings=settings) as (door, _):
            for number in (1, 2):
                door.gossip.send(SendGossip(number, (ask(HOME_0),)))
            assert unpack_messages(await asyncio.get_running_loop().sock_recv(peer, 2048))
            peer.sendto(pack_messages([ask(6, size=3)])[0], listen)
            await asyncio.get_running_loop().sock_recv(peer, 2048)
            peer.close()

    run(job())
