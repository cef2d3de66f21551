"""Recorded frames go through the two ends of a control socket: an agent's link and a front door's control."""

import asyncio
from pathlib import Path

from molereach.fleet import wire
from molereach.fleet.agent.link import ProxyConnection
from tests.compatibility import fleet_samples as samples
from tests.compatibility.control_samples import controlled_front_door
from tests.compatibility.recording import recorded
from tests.sockets import run


def test_link_sends_the_recorded_asks(tmp_path: Path) -> None:
    received = bytearray()

    async def answer_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        frames = wire.FrameReader(wire.MAX_REQUEST_BYTES)
        while data := await reader.read(1 << 16):
            received.extend(data)
            frames.feed(data)
            while (body := frames.next()) is not None:
                number = wire.decode_request(body).number
                writer.write(wire.frame(wire.Response(version=wire.VERSION, number=number)))
        writer.close()

    async def job() -> None:
        path = tmp_path / "n0.sock"
        async with await asyncio.start_unix_server(answer_all, str(path)):
            link = ProxyConnection(lambda state: None, lambda why: None)
            await link.open(path)
            for ask in samples.ASKS:
                await link.request(ask.kind, customer=ask.customer, order_state=ask.order_state)
            await link.close()

    run(job())
    assert bytes(received) == recorded("fleet-control-asks.bin")


def test_link_takes_the_recorded_answers(tmp_path: Path) -> None:
    answers, news = (
        [answer for answer in samples.ANSWERS if answer.number != wire.NOTIFICATION_NUMBER],
        samples.ANSWERS[-1],
    )
    heard: list[wire.ProxyState] = []

    async def answer_at_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(wire.HEAD_BYTES)
        await asyncio.sleep(0)
        writer.write(recorded("fleet-control-answers.bin"))
        await reader.read()
        writer.close()

    async def job() -> None:
        path = tmp_path / "n0.sock"
        async with await asyncio.start_unix_server(answer_at_once, str(path)):
            link = ProxyConnection(heard.append, lambda why: None)
            await link.open(path)
            asks = [link.request("state") for _ in answers]
            found = await asyncio.gather(*asks, return_exceptions=True)
            assert found[:-1] == answers[:-1]
            assert str(found[-1]) == answers[-1].error
            await link.close()

    run(job())
    assert heard == [news.state]


def test_front_door_answers_the_recorded_asks(tmp_path: Path) -> None:
    found: list[wire.Response] = []

    async def job() -> None:
        async with controlled_front_door(tmp_path) as control:
            reader, writer = await asyncio.open_unix_connection(str(control.path))
            writer.write(recorded("fleet-control-asks.bin"))
            frames = wire.FrameReader(wire.MAX_RESPONSE_BYTES)
            while len(found) < len(samples.ASKS):
                data = await reader.read(1 << 16)
                assert data, "the front door has closed the connection"
                frames.feed(data)
                while (body := frames.next()) is not None:
                    answer = wire.decode_response(body)
                    found.extend([answer] if answer.number != wire.NOTIFICATION_NUMBER else [])
            writer.close()

    run(job())
    assert [answer.number for answer in found] == [ask.number for ask in samples.ASKS]
    assert not any(answer.error for answer in found)
    assert found[-1].state is not None
    assert found[-1].state.revision == samples.FULL_BOOK.revision
