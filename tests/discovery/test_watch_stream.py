"""The response of discovery in turns of the event loop: received data is processed in chunks and in order."""

import asyncio
import json
from collections.abc import Callable

import pytest

from molereach.discovery.watch_stream import CHUNK_BYTES, Steps, WatchConnection
from tests.discovery.fakes import entries_json, list_json
from tests.races.scripted_peers import run_loop_iterations
from tests.sockets import HEAD, chunk, run

HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
LONG_ENTRIES = entries_json(5000)  # about 1 MB


class FakeTransport:
    """Ignores what is written; records whether reading is paused and the transport closed."""

    def __init__(self) -> None:
        self.reading, self.closing = True, False

    def write(self, data: bytes) -> None:
        pass

    def pause_reading(self) -> None:
        assert self.reading
        self.reading = False

    def resume_reading(self) -> None:
        assert not self.reading
        self.reading = True

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True


class RecordedWatch:
    """A connection that records its callbacks in order: objects, numbers of entries and "bytes"."""

    def __init__(self, steps: Callable[[bytes], Steps | None] = lambda received: None) -> None:
        self.callbacks: list[object] = []
        self.steps = steps
        self.connection = WatchConnection(
            "/",
            "h",
            self.on_object,
            lambda response_started: self.callbacks.append("bytes"),
            lambda text: self.callbacks.append(len(json.loads(text))),
        )
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]
        self.receive = self.connection.data_received

    def on_object(self, received: bytes) -> Steps | None:
        self.callbacks.append(received)
        return self.steps(received)

    @property
    def received(self) -> list[object]:
        """Objects, empty lines and numbers of extracted entries."""
        return [callback for callback in self.callbacks if callback != "bytes"]

    async def until_processed(self) -> None:
        while self.connection.is_processing or self.connection.turn_scheduled:
            await asyncio.sleep(0)


def test_long_response_is_processed_in_turns_with_other_callbacks_between() -> None:
    async def scenario() -> None:
        watch, other_turns = RecordedWatch(), 0
        watch.receive(HEAD + chunk(list_json(4, LONG_ENTRIES)))
        assert (
            watch.callbacks.count("bytes") == 1
            and not watch.transport.reading
            and watch.connection.has_unread_data()
        )
        while watch.connection.is_processing:
            before = watch.callbacks.count("bytes")
            await asyncio.sleep(0)  # the turn of another callback
            other_turns += 1
            assert watch.callbacks.count("bytes") <= before + 1
        chunk_count = -(-(len(LONG_ENTRIES)) // CHUNK_BYTES)
        assert chunk_count - 1 <= other_turns <= chunk_count + 1 and not watch.transport.reading
        await watch.until_processed()
        assert watch.transport.reading  # resumed one turn after the last chunk
        assert sum(count for count in watch.received if isinstance(count, int)) < 5000
        assert max(count for count in watch.received if isinstance(count, int)) < 700

    run(scenario())


def test_short_response_is_processed_as_it_is_received() -> None:
    async def scenario() -> None:
        watch = RecordedWatch()
        watch.receive(HEAD + chunk(list_json(4, entries_json(100))))
        assert len(watch.received) == 2 and watch.transport.reading and not watch.connection.is_processing

    run(scenario())


@pytest.mark.parametrize("lost", [True, False])
def test_end_of_stream_is_processed_after_pending_chunks(lost: bool) -> None:
    """A response without a length ends with its stream, and only then is its last object complete."""

    async def scenario() -> None:
        watch = RecordedWatch()
        watch.receive(HEAD_WITHOUT_LENGTH + list_json(4, LONG_ENTRIES) + b'{"generation":5}')
        watch.connection.eof_received()
        if lost:
            watch.connection.connection_lost(None)
        assert not watch.connection.finished.done()
        await watch.until_processed()
        assert watch.received[-1] == b'{"generation":5}' and watch.connection.closed
        assert watch.connection.finished.done() is lost

    run(scenario())


def test_connection_reset_takes_effect_after_pending_chunks() -> None:
    async def scenario() -> None:
        watch = RecordedWatch()
        watch.receive(HEAD_WITHOUT_LENGTH + list_json(4, LONG_ENTRIES) + b'{"generation":5}\n{"generation":6')
        watch.connection.connection_lost(ConnectionResetError())
        await watch.until_processed()
        await run_loop_iterations()
        assert watch.received[-2:] == [b'{"generation":5}', b""] and watch.connection.finished.done()

    run(scenario())


def test_close_drops_pending_chunks_immediately() -> None:
    async def scenario() -> None:
        watch = RecordedWatch()
        watch.receive(HEAD + chunk(list_json(4, LONG_ENTRIES)))
        callbacks = list(watch.callbacks)
        watch.connection.close()
        assert (
            not watch.connection.is_processing
            and not watch.connection.pending_chunks
            and watch.transport.closing
        )
        await run_loop_iterations()
        assert watch.callbacks == callbacks
        watch.connection.connection_lost(None)
        assert watch.connection.finished.done()

    run(scenario())


def test_close_after_a_lost_connection_with_pending_chunks_resolves_finished() -> None:
    """Otherwise the task that awaits `finished` would wait forever."""

    async def scenario() -> None:
        watch = RecordedWatch()
        watch.receive(HEAD + chunk(list_json(4, LONG_ENTRIES)))
        watch.connection.connection_lost(None)
        watch.connection.close()
        assert watch.connection.finished.done()

    run(scenario())


def test_steps_of_an_object_run_one_per_turn_before_later_data() -> None:
    async def scenario() -> None:
        def steps(received: bytes) -> Steps | None:
            def three_steps() -> Steps:
                for number in range(3):
                    watch.callbacks.append(f"step {number}")
                    yield

            return three_steps() if b"4" in received else None

        watch = RecordedWatch(steps)
        watch.receive(HEAD + chunk(b'{"v":4}\n{"v":5}\n'))  # in one short chunk
        watch.receive(chunk(b'{"v":6}\n'))
        callback_counts = []
        while watch.connection.is_processing:
            callback_counts.append(len(watch.callbacks))
            assert watch.connection.has_unread_data() and not watch.transport.reading
            await asyncio.sleep(0)
        assert callback_counts[:4] == [1, 2, 3, 4]
        await watch.until_processed()
        expected = [b'{"v":4}', "step 0", "step 1", "step 2", b"", b'{"v":5}', b"", b'{"v":6}', b""]
        assert watch.received == expected and watch.transport.reading

    run(scenario())


@pytest.mark.parametrize(
    ("error", "line"),
    [
        (ValueError("odd"), "malformed watch response: odd"),
        (ZeroDivisionError(), "malformed watch response"),
        (RuntimeError("unexpected exception"), "unexpected exception"),
    ],
)
def test_exception_in_a_step_is_logged_and_closes_the_connection(
    error: Exception, line: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        def steps(received: bytes) -> Steps:
            yield
            raise error

        watch = RecordedWatch(steps)
        watch.receive(HEAD + chunk(b'{"v":4}{"v":5}'))
        await watch.until_processed()
        assert watch.transport.closing and watch.received == [b'{"v":4}'] and line in caplog.text

    run(scenario())
