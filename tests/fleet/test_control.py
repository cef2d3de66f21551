"""Control of a front door over its socket: orders reach the module, and nobody can hold up a request."""

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
    """An agent's end of the socket."""

    @classmethod
    async def open(cls, path: Path) -> "Agent":
        agent = cls()
        agent.reader, agent.writer = await asyncio.open_unix_connection(str(path))
        agent.frames = wire.FrameReader(wire.MAX_RESPONSE_BYTES)
        agent.number = 0
        return agent

    async def answer(self) -> Response:
        while (body := self.frames.next()) is None:
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.frames.feed(data)
        return wire.decode_response(body)

    async def ask(self, what: str, **more: object) -> Response:
        self.number += 1
        self.writer.write(wire.frame(Request(wire.VERSION, self.number, what, **more)))  # type: ignore[arg-type]
        answer = await self.answer()
        assert answer.number == self.number
        return answer


def order(revision: int, verb: str, subject: str, **more: object) -> Decided:
    return Decided(revision, Order(f"o{revision}", Verb(verb), subject, "duty", "why", 0, **more))


def record_of(*decided: Decided) -> OrderStateRecord:
    """What an agent puts that has these orders."""
    made = OrderState()
    for one in decided:
        made.record_decided(one)
    return OrderStateRecord(made.revision, made.to_record().in_force)


@contextlib.asynccontextmanager
async def controlled(
    path: Path, *backends: Backend
) -> AsyncIterator[tuple[Proxy, tuple[str, int], Agent, Control]]:
    async with front_door(*backends) as (door, address):
        made = Control(door, path)
        await made.start()
        try:
            yield door, address, await Agent.open(path), made
        finally:
            made.close()


async def started(tmp_path: Path, backends: list[Backend], wait_s: float = 0.0) -> tuple[object, object]:
    """The program with an operator file that switches control on."""
    listen, silent, path = refusing_address(), refusing_address(), tmp_path / "n0.sock"
    known = json.loads(
        catalog(4, [entry(f"s{number}", await backend.start()) for number, backend in enumerate(backends)])
    )
    plenty = {**SETTINGS, "plans": [{"name": "team", "units-per-s": 1000, "burst": 1000}]}
    values = config(
        listen=f"{HOST}:{listen[1]}", discovery=f"{HOST}:{silent[1]}", known=known, settings=plenty
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


async def until_line(process: asyncio.subprocess.Process, text: bytes) -> None:
    assert process.stderr is not None
    while text not in (line := await process.stderr.readline()):
        assert line


async def opened(path: Path) -> Agent:
    while True:
        with contextlib.suppress(OSError):
            return await Agent.open(path)
        await asyncio.sleep(0.01)


def test_program_applies_orders_received_before_its_first_request(tmp_path: Path) -> None:
    """A drain that was given while it was away holds before it listens; an undrain ends it."""

    async def scenario() -> None:
        backends = [Backend(), Backend()]
        process, address = await started(tmp_path, backends, wait_s=30.0)
        assert isinstance(process, asyncio.subprocess.Process) and isinstance(address, tuple)
        try:
            agent = await opened(tmp_path / "n0.sock")
            with pytest.raises(OSError):
                await Client.open(address)  # it does not listen yet
            put = await agent.ask("put", order_state=record_of(order(1, "drain", "s0")))
            assert put.state and put.state.revision == 1
            await until_line(process, b"serves at")
            client = await Client.open(address)
            for number in range(20):
                assert await client.ask(query(f"a{number}")) == b"ok"
            assert not backends[0].commands and len(backends[1].commands) == 20
            members = (await agent.ask("members")).members
            assert members and {(one.name, one.listed, one.drained) for one in members} == {
                ("s0", "up", True),
                ("s1", "up", False),
            }
            await agent.ask(
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
        finally:  # a front door does not outlive a test that fails
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    run_scenario(scenario())


def test_endpoint_list_received_after_a_drain_includes_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend()
        async with controlled(tmp_path / "s", backend) as (door, address, agent, _):
            await agent.ask("put", order_state=record_of(order(1, "drain", "s9")))
            there = backend.server.sockets[0].getsockname()
            servers = tuple(Endpoint(name, 0, 0, 0, EndpointState.UP) for name in ("s8", "s9"))
            door.endpoints.on_update(
                EndpointUpdate(
                    EndpointListReceived(EndpointListKind.FULL, 9, servers), {"s8": there, "s9": there}
                )
            )
            assert {name: pool.accepts_attempts for name, pool in door.backends.pools.items()} == {
                "s8": True,
                "s9": False,
            }
            assert await (await Client.open(address)).ask(query("a1")) == b"ok"
            state = (await agent.ask("state")).state
            assert state and state.list_version == 9

    run_scenario(scenario())


def test_hold_takes_no_new_clients_and_keeps_those_it_has(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controlled(tmp_path / "s", Backend()) as (door, address, agent, _):
            client = await Client.open(address)
            assert await client.ask(query("a1")) == b"ok"
            on_hold = await agent.ask(
                "put", order_state=record_of(order(1, "hold", "n0"), order(2, "hold", "n7"))
            )
            assert on_hold.state and on_hold.state.on_hold
            with pytest.raises(OSError):
                await Client.open(address)
            assert await client.ask(query("a2")) == b"ok"
            released = record_of(order(1, "hold", "n0"), order(2, "hold", "n7"), order(3, "release", "n0"))
            await agent.ask("put", order_state=released)
            assert not door.clients.is_paused
            for older in (record_of(order(1, "hold", "n0")), record_of(), None):  # it never goes back
                state = (await agent.ask("put", order_state=older)).state
                assert state and state.revision == 3 and not door.clients.is_paused
            assert await (await Client.open(address)).ask(query("a3")) == b"ok"

    run_scenario(scenario())


def test_order_lapses_by_itself(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "EXPIRY_INTERVAL_S", 0.01)

    async def scenario() -> None:
        async with controlled(tmp_path / "s", Backend()) as (door, address, agent, made):
            lapses = made.unix_ms() + 200
            await agent.ask("put", order_state=record_of(order(1, "hold", "n0", lapses_ms=lapses)))
            assert door.clients.is_paused
            while door.clients.is_paused:
                await asyncio.sleep(0.01)
            assert made.unix_ms() >= lapses and not made.order_state.in_force
            assert await (await Client.open(address)).ask(query("a1")) == b"ok"

    run_scenario(scenario())


def test_state_orders_counters_and_quota_are_reported(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend(lambda reported: None)
        async with controlled(tmp_path / "s", backend) as (_, address, agent, _):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.command_received.wait()
            state = (await agent.ask("state")).state
            assert state and (state.name, state.open_requests, state.clients) == ("n0", 1, 1)
            assert state.pid == os.getpid() and not state.on_hold and state.revision == 0
            counters = (await agent.ask("counters")).counters
            assert counters and counters["open_requests"] == 1 and counters["backend_connections"] == 1
            (standing,) = (await agent.ask("quota", customer=CUSTOMER.upper())).quota or ()
            assert standing.plan == 0 and 999 <= standing.tokens <= 1000 and standing.demand > 0
            assert (await agent.ask("quota", customer="0" * 16)).quota == ()
            await agent.ask("put", order_state=record_of(order(1, "drain", "sx")))
            assert (await agent.ask("orders")).orders == (order(1, "drain", "sx"),)

    run_scenario(scenario())


def test_unusable_orders_change_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controlled(tmp_path / "s", Backend()) as (_, _, _, made):
            good = order(1, "hold", "n0")
            for wrong in (
                order(0, "hold", "n0"),
                order(2, "hold", "x" * 65),
                order(2, "drain", ""),
                order(2, "release", "n0"),
                order(1, "hold", "n1"),
                order(9, "hold", "n1"),
            ):
                hostile = await Agent.open(tmp_path / "s")
                ask = Request(wire.VERSION, 1, "put", order_state=OrderStateRecord(3, (good, wrong)))
                hostile.writer.write(wire.frame(ask))
                assert (await hostile.answer()).error
                assert made.order_state.revision == 0 and not made.proxy.clients.is_paused

    run_scenario(scenario())


def test_malformed_requests_end_the_connection_and_not_the_proxy(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controlled(tmp_path / "s", Backend()) as (_, address, agent, _):
            for data in (b"\xff\xff\xff\xff", b"\0\0\0\x02{}", b"\0\0\0\x01\xff"):
                hostile = await Agent.open(tmp_path / "s")
                hostile.writer.write(data * 3)
                assert (await hostile.answer()).error
                with pytest.raises((EOFError, ConnectionError)):
                    await hostile.answer()
            assert (await agent.ask("state")).state
            assert await (await Client.open(address)).ask(query("a1")) == b"ok"

    run_scenario(scenario())


def test_watcher_is_notified_of_changes_and_one_that_reads_nothing_is_dropped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(control, "NOTIFICATION_DELAY_S", 0.0)
    monkeypatch.setattr(control, "MAX_UNREAD_BYTES", 20_000)

    async def scenario() -> None:
        async with controlled(tmp_path / "s", Backend()) as (_, address, agent, made):
            watcher = await Agent.open(tmp_path / "s")
            await watcher.ask("watch")
            await agent.ask("put", order_state=record_of(order(1, "hold", "n0"), order(2, "release", "n0")))
            notification = await watcher.answer()
            assert (
                notification.number == wire.NOTIFICATION_NUMBER
                and notification.state
                and notification.state.revision == 2
            )
            silent = await Agent.open(tmp_path / "s")
            silent.writer.transport.pause_reading()  # type: ignore[attr-defined]
            requests = (wire.frame(Request(wire.VERSION, number, "counters")) for number in range(9000))
            silent.writer.write(b"".join(requests))
            while len(made.connections) > 2:  # it requests and requests, and reads nothing
                await asyncio.sleep(0)
            assert await (await Client.open(address)).ask(query("a1")) == b"ok"

    run_scenario(scenario())


def test_too_many_connections_and_other_users_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with controlled(tmp_path / "s", Backend()) as (_, _, agent, made):
            more = [await Agent.open(tmp_path / "s") for _ in range(control.MAX_CONNECTIONS)]
            assert (await agent.ask("state")).state
            with pytest.raises((EOFError, ConnectionError)):
                await more[-1].ask("state")
            for one in more:
                one.writer.close()
            while len(made.connections) > 1:
                await asyncio.sleep(0)
            monkeypatch.setattr(control, "peer_user_id", lambda connection: 12345)
            stranger = await Agent.open(tmp_path / "s")
            with pytest.raises((EOFError, ConnectionError)):
                await stranger.ask("state")

    run_scenario(scenario())


def test_socket_is_private_and_its_place_is_checked(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controlled(tmp_path / "s", Backend()) as (door, _, _, _):
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
                    await Control(door, tmp_path / name).start()
            with socket.socket(socket.AF_UNIX) as dead:  # a predecessor's that was killed
                dead.bind(str(tmp_path / "dead"))
            (await attach(door, tmp_path / "dead", 0.0))()
            assert not (tmp_path / "dead").exists() and (tmp_path / "file").read_text() == "x"

    run_scenario(scenario())


def test_start_goes_on_without_an_agent(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with front_door(Backend()) as (door, _):
            detach = await attach(door, tmp_path / "s", 0.05)
            detach()

    run_scenario(scenario())
    assert "no agent has brought orders" in caplog.text
