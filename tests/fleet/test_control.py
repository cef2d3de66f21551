"""The control server of a front door: orders take effect, and no client can delay the proxy's requests."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from molereach.discovery.endpoint_mapping import EndpointUpdate
from molereach.fleet import control, wire
from molereach.fleet.control import Control, attach
from molereach.fleet.control_socket import ControlError
from molereach.fleet.order_state import OrderState
from molereach.fleet.orders import Decided, Order, OrderStateRecord, Verb
from molereach.fleet.wire import Request, Response
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from molereach.proxy.proxy import Proxy
from tests.sockets import CUSTOMER, HOST, Backend, Client, catalog, entry, front_door, query, refusing_address
from tests.sockets import run as run_scenario
from tests.test_program import ROOT, SETTINGS, config, write


class Agent:
    """The agent's side of a control connection."""

    @classmethod
    async def open(cls, path: Path) -> "Agent":
        agent = cls()
        agent.reader, agent.writer = await asyncio.open_unix_connection(str(path))
        agent.frames = wire.FrameReader(wire.MAX_RESPONSE_BYTES)
        agent.number = 0
        return agent

    async def receive(self) -> Response:
        while (body := self.frames.next()) is None:
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.frames.feed(data)
        return wire.decode_response(body)

    async def request(self, kind: str, **fields: object) -> Response:
        self.number += 1
        self.writer.write(wire.frame(Request(wire.VERSION, self.number, kind, **fields)))  # type: ignore[arg-type]
        response = await self.receive()
        assert response.number == self.number
        return response


def order(revision: int, verb: str, subject: str, **fields: object) -> Decided:
    return Decided(revision, Order(f"o{revision}", Verb(verb), subject, "duty", "why", 0, **fields))


def record_of(*orders: Decided) -> OrderStateRecord:
    """The record that an agent sends in `put` when these orders are decided."""
    state = OrderState()
    for decided in orders:
        state.record_decided(decided)
    return OrderStateRecord(state.revision, state.to_record().in_force)


@contextlib.asynccontextmanager
async def proxy_with_control(
    path: Path, *backends: Backend
) -> AsyncIterator[tuple[Proxy, tuple[str, int], Agent, Control]]:
    async with front_door(*backends) as (proxy, address):
        control_server = Control(proxy, path)
        await control_server.start()
        try:
            yield proxy, address, await Agent.open(path), control_server
        finally:
            control_server.close()


async def start_program(
    tmp_path: Path, backends: list[Backend], wait_s: float = 0.0
) -> tuple[object, object]:
    """Start the program with control enabled in its operator file; return the process and its address."""
    listen, discovery, path = refusing_address(), refusing_address(), tmp_path / "n0.sock"
    saved_list = json.loads(
        catalog(4, [entry(f"s{number}", await backend.start()) for number, backend in enumerate(backends)])
    )
    settings = {**SETTINGS, "plans": [{"name": "team", "units-per-s": 1000, "burst": 1000}]}
    values = config(
        listen=f"{HOST}:{listen[1]}", discovery=f"{HOST}:{discovery[1]}", known=saved_list, settings=settings
    )
    operator = tmp_path / "operator.toml"
    operator.write_text(f'[control]\nsocket = "{path}"\nwait_for_orders_s = {wait_s}\n')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "molereach",
        "--operator",
        str(operator),
        cwd=ROOT,
        env={**os.environ, **write(tmp_path, values)},
        stderr=asyncio.subprocess.PIPE,
    )
    return process, listen


async def wait_for_line(process: asyncio.subprocess.Process, text: bytes) -> None:
    assert process.stderr is not None
    while text not in (line := await process.stderr.readline()):
        assert line


async def connect_when_ready(path: Path) -> Agent:
    while True:
        with contextlib.suppress(OSError):
            return await Agent.open(path)
        await asyncio.sleep(0.01)


def test_program_applies_orders_received_before_its_first_request(tmp_path: Path) -> None:
    """A drain received before the program listens applies to its first request; an undrain ends it."""

    async def scenario() -> None:
        backends = [Backend(), Backend()]
        process, address = await start_program(tmp_path, backends, wait_s=30.0)
        assert isinstance(process, asyncio.subprocess.Process) and isinstance(address, tuple)
        try:
            agent = await connect_when_ready(tmp_path / "n0.sock")
            with pytest.raises(OSError):
                await Client.open(address)  # the program does not listen yet
            put = await agent.request("put", order_state=record_of(order(1, "drain", "s0")))
            assert put.state and put.state.revision == 1
            await wait_for_line(process, b"serves at")
            client = await Client.open(address)
            for number in range(20):
                assert await client.ask(query(f"a{number}")) == b"ok"
            assert not backends[0].commands and len(backends[1].commands) == 20
            members = (await agent.request("members")).members
            assert members and {(member.name, member.listed, member.drained) for member in members} == {
                ("s0", "up", True),
                ("s1", "up", False),
            }
            await agent.request(
                "put",
                order_state=record_of(
                    order(1, "drain", "s0"), order(2, "undrain", "s0"), order(3, "drain", "s1")
                ),
            )
            for number in range(20, 40):
                assert await client.ask(query(f"a{number}")) == b"ok"
            assert len(backends[0].commands) == 20 and len(backends[1].commands) == 20
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert not (tmp_path / "n0.sock").exists()
        finally:  # ends the process if the test fails
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    run_scenario(scenario())


def test_drain_applies_to_an_endpoint_list_received_later(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend()
        async with proxy_with_control(tmp_path / "s", backend) as (proxy, address, agent, _):
            await agent.request("put", order_state=record_of(order(1, "drain", "s9")))
            backend_address = backend.server.sockets[0].getsockname()
            servers = tuple(Endpoint(name, 0, 0, 0, EndpointState.UP) for name in ("s8", "s9"))
            proxy.endpoints.on_update(
                EndpointUpdate(
                    EndpointListReceived(EndpointListKind.FULL, 9, servers),
                    {"s8": backend_address, "s9": backend_address},
                )
            )
            assert {name: pool.accepts_attempts for name, pool in proxy.backends.pools.items()} == {
                "s8": True,
                "s9": False,
            }
            assert await (await Client.open(address)).ask(query("a1")) == b"ok"
            state = (await agent.request("state")).state
            assert state and state.list_version == 9

    run_scenario(scenario())


def test_hold_accepts_no_new_clients_and_keeps_open_connections(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with proxy_with_control(tmp_path / "s", Backend()) as (proxy, address, agent, _):
            client = await Client.open(address)
            assert await client.ask(query("a1")) == b"ok"
            on_hold = await agent.request(
                "put", order_state=record_of(order(1, "hold", "n0"), order(2, "hold", "n7"))
            )
            assert on_hold.state and on_hold.state.on_hold
            with pytest.raises(OSError):
                await Client.open(address)
            assert await client.ask(query("a2")) == b"ok"
            released = record_of(order(1, "hold", "n0"), order(2, "hold", "n7"), order(3, "release", "n0"))
            await agent.request("put", order_state=released)
            assert not proxy.clients.is_paused
            # An older revision, or none, has no effect.
            for older in (record_of(order(1, "hold", "n0")), record_of(), None):
                state = (await agent.request("put", order_state=older)).state
                assert state and state.revision == 3 and not proxy.clients.is_paused
            assert await (await Client.open(address)).ask(query("a3")) == b"ok"

    run_scenario(scenario())


def test_order_lapses_without_an_agent(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "EXPIRY_INTERVAL_S", 0.01)

    async def scenario() -> None:
        async with proxy_with_control(tmp_path / "s", Backend()) as (proxy, address, agent, control_server):
            lapses_ms = control_server.unix_ms() + 200
            await agent.request("put", order_state=record_of(order(1, "hold", "n0", lapses_ms=lapses_ms)))
            assert proxy.clients.is_paused
            while proxy.clients.is_paused:
                await asyncio.sleep(0.01)
            assert control_server.unix_ms() >= lapses_ms and not control_server.order_state.in_force
            assert await (await Client.open(address)).ask(query("a1")) == b"ok"

    run_scenario(scenario())


def test_state_orders_counters_and_quota_are_reported(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend(lambda command: None)
        async with proxy_with_control(tmp_path / "s", backend) as (_, address, agent, _):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.command_received.wait()
            state = (await agent.request("state")).state
            assert state and (state.name, state.open_requests, state.clients) == ("n0", 1, 1)
            assert state.pid == os.getpid() and not state.on_hold and state.revision == 0
            counters = (await agent.request("counters")).counters
            assert counters and counters["open_requests"] == 1 and counters["backend_connections"] == 1
            (status,) = (await agent.request("quota", customer=CUSTOMER.upper())).quota or ()
            assert status.plan == 0 and 999 <= status.tokens <= 1000 and status.demand > 0
            assert (await agent.request("quota", customer="0" * 16)).quota == ()
            await agent.request("put", order_state=record_of(order(1, "drain", "sx")))
            assert (await agent.request("orders")).orders == (order(1, "drain", "sx"),)

    run_scenario(scenario())


def test_invalid_orders_change_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with proxy_with_control(tmp_path / "s", Backend()) as (_, _, _, control_server):
            valid = order(1, "hold", "n0")
            for invalid in (
                order(0, "hold", "n0"),
                order(2, "hold", "x" * 65),
                order(2, "drain", ""),
                order(2, "release", "n0"),
                order(1, "hold", "n1"),
                order(9, "hold", "n1"),
            ):
                sender = await Agent.open(tmp_path / "s")
                put = Request(wire.VERSION, 1, "put", order_state=OrderStateRecord(3, (valid, invalid)))
                sender.writer.write(wire.frame(put))
                assert (await sender.receive()).error
                assert control_server.order_state.revision == 0 and not control_server.proxy.clients.is_paused

    run_scenario(scenario())


def test_malformed_request_ends_only_its_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with proxy_with_control(tmp_path / "s", Backend()) as (_, address, agent, _):
            for data in (b"\xff\xff\xff\xff", b"\0\0\0\x02{}", b"\0\0\0\x01\xff"):
                sender = await Agent.open(tmp_path / "s")
                sender.writer.write(data * 3)
                assert (await sender.receive()).error
                with pytest.raises((EOFError, ConnectionError)):
                    await sender.receive()
            assert (await agent.request("state")).state
            assert await (await Client.open(address)).ask(query("a1")) == b"ok"

    run_scenario(scenario())


def test_watcher_is_notified_and_a_client_that_does_not_read_is_dropped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(control, "NOTIFICATION_DELAY_S", 0.0)
    monkeypatch.setattr(control, "MAX_UNREAD_BYTES", 20_000)

    async def scenario() -> None:
        async with proxy_with_control(tmp_path / "s", Backend()) as (_, address, agent, control_server):
            watcher = await Agent.open(tmp_path / "s")
            await watcher.request("watch")
            await agent.request(
                "put", order_state=record_of(order(1, "hold", "n0"), order(2, "release", "n0"))
            )
            notification = await watcher.receive()
            assert (
                notification.number == wire.NOTIFICATION_NUMBER
                and notification.state
                and notification.state.revision == 2
            )
            not_reading = await Agent.open(tmp_path / "s")
            not_reading.writer.transport.pause_reading()  # type: ignore[attr-defined]
            requests = (wire.frame(Request(wire.VERSION, number, "counters")) for number in range(9000))
            not_reading.writer.write(b"".join(requests))
            while len(control_server.connections) > 2:  # until the client that does not read is dropped
                await asyncio.sleep(0)
            assert await (await Client.open(address)).ask(query("a1")) == b"ok"

    run_scenario(scenario())


def test_too_many_connections_and_other_users_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with proxy_with_control(tmp_path / "s", Backend()) as (_, _, agent, control_server):
            connections = [await Agent.open(tmp_path / "s") for _ in range(control.MAX_CONNECTIONS)]
            assert (await agent.request("state")).state
            with pytest.raises((EOFError, ConnectionError)):
                await connections[-1].request("state")
            for connection in connections:
                connection.writer.close()
            while len(control_server.connections) > 1:
                await asyncio.sleep(0)
            monkeypatch.setattr(control, "peer_user_id", lambda connection: 12345)
            other_user = await Agent.open(tmp_path / "s")
            with pytest.raises((EOFError, ConnectionError)):
                await other_user.request("state")

    run_scenario(scenario())


def test_socket_is_private_and_its_path_is_checked(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with proxy_with_control(tmp_path / "s", Backend()) as (proxy, _, _, _):
            assert (tmp_path / "s").stat().st_mode & 0o777 == 0o600
            (tmp_path / "file").write_text("x")
            (tmp_path / "open").mkdir()
            (tmp_path / "open").chmod(0o777)
            for name, reason in (
                ("s", "another front door"),
                ("file", "no socket"),
                ("none/s", "no such folder"),
                ("open/s", "others may write"),
            ):
                with pytest.raises(ControlError, match=reason):
                    await Control(proxy, tmp_path / name).start()
            with socket.socket(socket.AF_UNIX) as stale:  # as left by a killed process
                stale.bind(str(tmp_path / "stale"))
            (await attach(proxy, tmp_path / "stale", 0.0))()
            assert not (tmp_path / "stale").exists() and (tmp_path / "file").read_text() == "x"

    run_scenario(scenario())


def test_proxy_starts_without_an_agent_after_the_wait(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        async with front_door(Backend()) as (proxy, _):
            detach = await attach(proxy, tmp_path / "s", 0.05)
            detach()

    run_scenario(scenario())
    assert "no agent has brought orders" in caplog.text
