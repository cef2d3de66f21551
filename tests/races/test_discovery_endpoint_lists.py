"""Effects of endpoint lists, also with invalid entries. Cases: docs/design/endings.md, "Discovery"."""

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
from tests.races.discovery_agent import BACKEND_ADDRESS, accept_request, watch_path
from tests.races.scripted_peers import Peer, ScriptedServer, scripted_server, wait_until
from tests.sockets import CONFIG, HEAD, SETTINGS, Client, catalog, chunk, entry, query, run, value

UP, DRAINING, REMOVED = EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED


def read_update(*entries: object, reset: bool = False) -> tuple[dict[str, EndpointState], dict[str, Any]]:
    update = EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers).read_update(
        {"generation": 1, "reset": reset, "instances": list(entries)}
    )
    return {endpoint.name: endpoint.state for endpoint in update.event.endpoints}, update.addresses


@pytest.mark.parametrize(
    "invalid",
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
def test_draining_is_reported_even_if_other_fields_of_the_entry_are_invalid(
    invalid: dict[str, object],
) -> None:
    for state, expected in (("DRAINING", DRAINING), ("DELETED", REMOVED), ("RESTING", DRAINING)):
        assert read_update({**entry("s1", BACKEND_ADDRESS), "lifecycle": state, **invalid})[0] == {
            "s1": expected
        }


@pytest.mark.parametrize(
    "invalid",
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
def test_only_the_invalid_entry_is_skipped(invalid: object) -> None:
    invalid_entry = (
        {**entry("s1", BACKEND_ADDRESS), **invalid} if isinstance(invalid, dict) and invalid else invalid
    )
    assert read_update(entry("s0", BACKEND_ADDRESS), invalid_entry, entry("s2", BACKEND_ADDRESS)) == (
        {"s0": UP, "s2": UP},
        {"s0": BACKEND_ADDRESS, "s2": BACKEND_ADDRESS},
    )


# Backends that return under the same name.

SECOND_US = 1_000_000


def endpoint(name: str = "s1", state: EndpointState = UP, started_us: int = 0) -> Endpoint:
    return Endpoint(name, 0, 0, 0, state, 1.0, started_us)


class GatewayHarness:
    """The policy, given updates about one backend."""

    def __init__(self) -> None:
        self.gateway, self.now, self.count = Gateway(SETTINGS), SECOND_US, 0
        self.report(endpoint(), kind=EndpointListKind.FULL)

    def report(self, *endpoints: Endpoint, kind: EndpointListKind = EndpointListKind.CHANGES) -> None:
        self.now += 1
        self.gateway.handle(self.now, EndpointListReceived(kind, 1, endpoints))

    def send_request(self) -> list[ForwardAttempt]:
        """Deliver a request; return the attempts that are forwarded at once."""
        self.now, self.count = self.now + 1, self.count + 1
        actions = self.gateway.handle(self.now, RequestReceived(f"r{self.count}", 2, 0, "c", SECOND_US))
        return [action for action in actions if isinstance(action, ForwardAttempt)]

    def end_attempt(self, attempt: ForwardAttempt, result: AttemptResult) -> None:
        self.now += 1
        self.gateway.handle(self.now, AttemptEnded(attempt.request_id, False, 0, attempt.endpoint, result, 1))


@pytest.mark.parametrize(
    "updates",
    [
        [(endpoint(state=DRAINING),)],
        [(endpoint(state=REMOVED),)],
        [(endpoint(state=DRAINING),), (endpoint(state=REMOVED),)],
        [(endpoint(), endpoint(state=REMOVED))],
    ],
)
@pytest.mark.parametrize("started_us", [0, SECOND_US])
def test_backend_gets_no_requests_while_absent_and_some_once_it_is_back(
    updates: list[tuple[Endpoint, ...]], started_us: int
) -> None:
    gateway_harness = GatewayHarness()
    assert gateway_harness.send_request()
    for update in updates:
        gateway_harness.report(*update)
        assert not gateway_harness.send_request()
        # A draining backend is kept; any other is removed.
        assert ("s1" in gateway_harness.gateway.load_balancer.backends) is (update[-1].state is DRAINING)
    gateway_harness.report(endpoint(started_us=started_us))
    assert gateway_harness.send_request()


def test_full_list_removes_absent_backends_and_a_failed_request_none() -> None:
    gateway_harness = GatewayHarness()
    gateway_harness.report(kind=EndpointListKind.FAILED)
    assert gateway_harness.send_request()
    gateway_harness.report(endpoint("s2"), kind=EndpointListKind.FULL)
    assert (
        [attempt.endpoint for attempt in gateway_harness.send_request()]
        == ["s2"]
        == list(gateway_harness.gateway.load_balancer.backends)
    )


def test_attempts_from_before_a_restart_do_not_count_against_the_backend() -> None:
    gateway_harness = GatewayHarness()
    sent = [attempt for _ in range(3) for attempt in gateway_harness.send_request()]
    gateway_harness.report(endpoint(state=DRAINING))
    gateway_harness.report(endpoint(started_us=SECOND_US))
    for attempt in sent:
        gateway_harness.end_attempt(attempt, AttemptResult.TIMEOUT)
    assert (
        gateway_harness.send_request()
        and not gateway_harness.gateway.load_balancer.backends["s1"].failure_score
    )
    gateway_harness.report(endpoint(started_us=SECOND_US))  # reported again: the same process
    assert len(gateway_harness.gateway.load_balancer.backends["s1"].in_flight) == 1


class ProxyHarness:
    """A proxy with one scripted backend and one scripted discovery agent."""

    def __init__(self, proxy: Proxy, backend: ScriptedServer, watch: Peer, client: Client) -> None:
        self.proxy, self.backend, self.watch, self.client = proxy, backend, watch, client

    def send_list(self, version: int, *entries: dict[str, Any], reset: bool = False) -> None:
        self.watch.send(chunk(catalog(version, entries, reset)))

    async def serve_request(self, name: str) -> Peer:
        """Serve a request on a new connection to the backend, which is idle afterwards."""
        self.client.send(query(name))
        peer = await self.backend.accept()
        await peer.receive_until(name.encode())
        peer.send(value(b"ok"))
        assert await self.client.answer() == b"ok"
        return peer


@contextlib.asynccontextmanager
async def one_backend() -> AsyncIterator[ProxyHarness]:
    with scripted_server() as backend, scripted_server() as agent:
        known = {"generation": 3, "reset": True, "instances": [entry("s1", backend.address)]}
        proxy = Proxy(replace(CONFIG, discovery=agent.address, known=known))
        starting = asyncio.create_task(proxy.start())
        watch, target = await accept_request(agent)
        assert target == watch_path(3)
        watch.send(HEAD + chunk(catalog(4, [], reset=False)))
        await starting
        try:
            yield ProxyHarness(proxy, backend, watch, await Client.open(proxy.address))
        finally:
            proxy.close()


def test_idle_connections_are_closed_when_their_backend_restarted() -> None:
    """Name and address are unchanged and no removal was reported. The connections lead to the old process;
    the next request on one would be reset, and a class that is not idempotent can't be retried."""

    async def job() -> None:
        async with one_backend() as harness:
            peer = await harness.serve_request("r1")
            harness.send_list(5, entry("s1", harness.backend.address, started_ms=1))
            assert await peer.receive() == b""
            second_peer = await harness.serve_request("r2")
            # The same start time: the connection stays.
            harness.send_list(6, entry("s1", harness.backend.address, started_ms=1))
            harness.send_list(7, entry("s2", BACKEND_ADDRESS, "DRAINING"))
            await wait_until(lambda: harness.proxy.discovery.version == 7)
            assert second_peer.receive_nowait() == b"" and harness.proxy.backends.pools["s1"].idle

    run(job())


def test_backend_that_moved_gets_no_requests_at_its_old_address() -> None:
    async def job() -> None:
        async with one_backend() as harness:
            old_peer = await harness.serve_request("r1")
            first_backend = harness.backend
            harness.send_list(5, entry("s1", first_backend.address, "DRAINING"))
            assert await old_peer.receive() == b""
            with scripted_server() as second_backend:
                harness.send_list(6, entry("s1", second_backend.address, started_ms=1))
                await wait_until(lambda: harness.proxy.discovery.version == 6)
                harness.backend = second_backend
                await harness.serve_request("r2")
                assert not first_backend.has_pending_connection()

    run(job())
