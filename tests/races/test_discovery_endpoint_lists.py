"""What a list says, and what it cannot take back. The rows: docs/design/endings.md, "Discovery"."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import pytest

from molereach.discovery.endpoint_mapping import EndpointMapping
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import ForwardAttempt
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    RequestReceived,
)
from molereach.proxy.proxy import Proxy
from tests.races.discovery_agent import AT, after, call
from tests.races.scripted_peers import Machine, Peer, machine, until
from tests.sockets import CONFIG, HEAD, SETTINGS, Client, catalog, chunk, entry, query, run, value

UP, DRAINING, GONE = EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED


def read(*entries: object, reset: bool = False) -> tuple[dict[str, EndpointState], dict[str, Any]]:
    news = EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers).read_update(
        {"generation": 1, "reset": reset, "instances": list(entries)}
    )
    return {server.name: server.state for server in news.event.endpoints}, news.addresses


@pytest.mark.parametrize(
    "odd",
    [
        {"hostPort": None},
        {"hostPort": "nowhere"},
        {"hostPort": "1.2.3.4:99999"},
        {"cell": "x"},
        {"cell": math.inf},
        {"weight": []},
        {"startedAtMs": "soon"},
        {"zone": {}},
        {"machineType": 7},
    ],
)
def test_server_that_drains_is_heard_of_whatever_else_its_entry_says(odd: dict[str, object]) -> None:
    for state, known in (("DRAINING", DRAINING), ("DELETED", GONE), ("RESTING", DRAINING)):
        assert read({**entry("s1", AT), "lifecycle": state, **odd})[0] == {"s1": known}


@pytest.mark.parametrize(
    "odd",
    [
        None,
        7,
        "s1",
        [],
        {},
        {"instanceId": None},
        {"instanceId": ""},
        {"instanceId": [1]},
        {"hostPort": "nowhere"},
    ],
)
def test_entry_that_makes_no_sense_is_passed_over_alone(odd: object) -> None:
    bad = {**entry("s1", AT), **odd} if isinstance(odd, dict) and odd else odd
    assert read(entry("s0", AT), bad, entry("s2", AT)) == ({"s0": UP, "s2": UP}, {"s0": AT, "s2": AT})


# --- a server that comes back under its name ---

S = 1_000_000


def server(name: str = "s1", state: EndpointState = UP, started_us: int = 0) -> Endpoint:
    return Endpoint(name, 0, 0, 0, state, 1.0, started_us)


class Told:
    """The decisions, as they are told of one server."""

    def __init__(self) -> None:
        self.gateway, self.now, self.count = Gateway(SETTINGS), S, 0
        self.say(server(), kind=EndpointListKind.FULL)

    def say(self, *servers: Endpoint, kind: EndpointListKind = EndpointListKind.CHANGES) -> None:
        self.now += 1
        self.gateway.handle(self.now, EndpointListReceived(kind, 1, servers))

    def ask(self) -> list[ForwardAttempt]:
        """A request comes: where it is sent at once."""
        self.now, self.count = self.now + 1, self.count + 1
        actions = self.gateway.handle(self.now, RequestReceived(f"r{self.count}", 2, 0, "c", S))
        return [action for action in actions if isinstance(action, ForwardAttempt)]

    def end(self, send: ForwardAttempt, result: AttemptResult) -> None:
        self.now += 1
        self.gateway.handle(self.now, AttemptEnded(send.request_id, False, 0, send.endpoint, result, 1))


@pytest.mark.parametrize(
    "away",
    [
        [(server(state=DRAINING),)],
        [(server(state=GONE),)],
        [(server(state=DRAINING),), (server(state=GONE),)],
        [(server(), server(state=GONE))],
    ],
)
@pytest.mark.parametrize("started_us", [0, S])
def test_server_gets_nothing_while_away_and_work_once_it_is_back(
    away: list[tuple[Endpoint, ...]], started_us: int
) -> None:
    told = Told()
    assert told.ask()
    for news in away:
        told.say(*news)
        assert not told.ask()
        assert ("s1" in told.gateway.load_balancer.backends) is (
            news[-1].state is DRAINING
        )  # else it is forgotten
    told.say(server(started_us=started_us))
    assert told.ask()


def test_whole_list_takes_away_what_it_does_not_name_and_a_failed_call_nothing() -> None:
    told = Told()
    told.say(kind=EndpointListKind.FAILED)
    assert told.ask()
    told.say(server("s2"), kind=EndpointListKind.FULL)
    assert [send.endpoint for send in told.ask()] == ["s2"] == list(told.gateway.load_balancer.backends)


def test_what_its_former_life_still_owes_is_not_held_against_a_server_that_started_anew() -> None:
    told = Told()
    sent = [send for _ in range(3) for send in told.ask()]
    told.say(server(state=DRAINING))
    told.say(server(started_us=S))
    for send in sent:
        told.end(send, AttemptResult.TIMEOUT)
    assert told.ask() and not told.gateway.load_balancer.backends["s1"].failure_score
    told.say(server(started_us=S))  # said once more: it is the same one
    assert len(told.gateway.load_balancer.backends["s1"].in_flight) == 1


class Door:
    """A front door with one backend and an agent of discovery, both by hand."""

    def __init__(self, door: Proxy, backend: Machine, watch: Peer, client: Client) -> None:
        self.door, self.backend, self.watch, self.client = door, backend, watch, client

    def say(self, version: int, *entries: dict[str, Any], reset: bool = False) -> None:
        self.watch.say(chunk(catalog(version, entries, reset)))

    async def serve(self, name: str) -> Peer:
        """A request that a new connection to the backend brings; it rests there afterwards."""
        self.client.send(query(name))
        peer = await self.backend.accept()
        await peer.hear_until(name.encode())
        peer.say(value(b"ok"))
        assert await self.client.answer() == b"ok"
        return peer


@contextlib.asynccontextmanager
async def one_backend() -> AsyncIterator[Door]:
    with machine() as backend, machine() as agent:
        known = {"generation": 3, "reset": True, "instances": [entry("s1", backend.address)]}
        door = Proxy(replace(CONFIG, discovery=agent.address, known=known))
        starting = asyncio.create_task(door.start())
        watch, target = await call(agent)
        assert target == after(3)
        watch.say(HEAD + chunk(catalog(4, [], reset=False)))
        await starting
        try:
            yield Door(door, backend, watch, await Client.open(door.address))
        finally:
            door.close()


def test_connections_that_rest_are_closed_when_their_server_started_anew() -> None:
    """Same name and address, and nothing was said of its end: they lead to a process that is no more, and the
    next request on one would be reset, which an unsafe class cannot repeat."""

    async def job() -> None:
        async with one_backend() as made:
            peer = await made.serve("r1")
            made.say(5, entry("s1", made.backend.address, started_ms=1))
            assert await peer.hear() == b""
            again = await made.serve("r2")
            made.say(6, entry("s1", made.backend.address, started_ms=1))  # the same start: it stays
            made.say(7, entry("s2", AT, "DRAINING"))
            await until(lambda: made.door.discovery.version == 7)
            assert again.pending() == b"" and made.door.backends.pools["s1"].idle

    run(job())


def test_server_that_comes_back_at_another_address_is_not_sent_anything_at_its_old_one() -> None:
    async def job() -> None:
        async with one_backend() as made:
            old = await made.serve("r1")
            first = made.backend
            made.say(5, entry("s1", first.address, "DRAINING"))
            assert await old.hear() == b""
            with machine() as second:
                made.say(6, entry("s1", second.address, started_ms=1))
                await until(lambda: made.door.discovery.version == 6)
                made.backend = second
                await made.serve("r2")
                assert not first.waiting()

    run(job())
