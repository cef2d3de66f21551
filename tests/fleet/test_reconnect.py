"""An agent reconnects to a proxy that ended while a response of it was not handled yet."""

import asyncio
import contextlib
from pathlib import Path

from molereach.fleet import wire
from molereach.fleet.roster import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    RequestUnanswered,
    Roster,
    SocketsListed,
    StateReceived,
)
from molereach.fleet.wire import FrameReader, ProxyState, Response
from tests.fleet.agents import new_agent, wait_until
from tests.sockets import run


class ControlServer:
    """The control socket of a scripted proxy; it may close right behind its answer to a heartbeat."""

    def __init__(self, path: Path, pid: int, closes_after_heartbeat: bool) -> None:
        self.path, self.pid, self.closes_after_heartbeat = path, pid, closes_after_heartbeat
        self.kinds: list[str] = []  # of the requests received
        self.server: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_unix_server(self.serve, str(self.path))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        frames = FrameReader(wire.MAX_REQUEST_BYTES)
        state = ProxyState("n0", self.pid, 1.0, False, 0, 1, 0, 0)
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                frames.feed(data)
                while (body := frames.next()) is not None:
                    request = wire.decode_request(body)
                    self.kinds.append(request.kind)
                    writer.write(wire.frame(Response(wire.VERSION, request.number, state=state)))
                    if request.kind == "state" and self.closes_after_heartbeat:
                        self.close()
                        writer.close()
                        return
        writer.close()

    def close(self) -> None:
        """Stop listening and remove the socket, as a proxy that shuts down does."""
        assert self.server is not None
        self.server.close()
        self.path.unlink()


def test_proxy_that_has_not_answered_yet_keeps_its_one_connection() -> None:
    """It used to get a further connection at each scan of the sockets, until the proxy took no more."""
    roster = Roster("a0")
    names = frozenset({"n0"})
    assert roster.handle(0, SocketsListed(names)) == [Connect("n0")]
    roster.handle(10, Connected("n0"))
    assert roster.handle(100, SocketsListed(names)) == []
    roster.handle(1_000, RequestUnanswered("n0"))
    assert roster.proxy_statuses(1_000)[0].reachability == "silent"
    roster.handle(1_100, Disconnected("n0", "it closed the connection"))
    assert roster.handle(1_200, SocketsListed(names)) == [Connect("n0")]


def test_proxy_under_a_wrong_name_is_connected_to_again() -> None:
    roster = Roster("a0")
    names = frozenset({"n0"})
    roster.handle(0, SocketsListed(names))
    roster.handle(10, Connected("n0"))
    state = ProxyState("n9", 1, 1.0, False, 0, 1, 0, 0)
    assert roster.handle(20, StateReceived("n0", state)) == [Disconnect("n0")]
    assert roster.handle(100, SocketsListed(names)) == [Connect("n0")]


def test_agent_reconnects_if_a_response_and_the_end_of_the_connection_arrive_together(tmp_path: Path) -> None:
    """The response was handled after the end: the proxy counted as up, without a connection, for ever."""

    async def scenario() -> None:
        agent = new_agent(tmp_path)
        path = tmp_path / "sockets" / "n0.sock"
        first, second = ControlServer(path, 1, True), ControlServer(path, 2, False)
        await first.start()
        agent.start()
        try:
            await wait_until(lambda: "state" in first.kinds)
            await wait_until(lambda: not agent.connections)
            await asyncio.sleep(0)  # whoever waits for the response goes on
            assert agent.status().proxies[0].reachability in ("gone", "ended")
            await second.start()
            await wait_until(lambda: "put" in second.kinds)
            await wait_until(lambda: agent.status().proxies[0].reachability == "up")
            status = agent.status().proxies[0]
            assert status.state is not None and status.state.pid == 2
        finally:
            await agent.close()
            second.close()

    run(scenario())
