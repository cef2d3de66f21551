"""An answer of discovery in turns of the loop: what comes at once is worked off in pieces, in its order."""

import asyncio
import json
from collections.abc import Callable

import pytest

from molereach.discovery.watch_stream import CHUNK_BYTES, Steps, WatchConnection
from tests.discovery.fakes import entries_text, list_text
from tests.races.wire import turns
from tests.sockets import HEAD, chunk, run

NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
LONG = entries_text(5000)  # of about 1 MB


class Transport:
    """Takes what is written; tells what was asked of it."""

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


class Call:
    """A call, with all that it told in its order."""

    def __init__(self, steps: Callable[[bytes], Steps | None] = lambda word: None) -> None:
        self.told: list[object] = []
        self.steps = steps
        self.connection = WatchConnection(
            "/",
            "h",
            self.word,
            lambda begun: self.told.append("heard"),
            lambda text: self.told.append(len(json.loads(text))),
        )
        self.transport = Transport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]
        self.say = self.connection.data_received

    def word(self, word: bytes) -> Steps | None:
        self.told.append(word)
        return self.steps(word)

    @property
    def words(self) -> list[object]:
        return [one for one in self.told if one != "heard"]

    async def all_read(self) -> None:
        while self.connection.is_processing or self.connection.turn_scheduled:
            await asyncio.sleep(0)


def test_what_comes_in_one_chunk_is_read_in_turns_with_others_between_them() -> None:
    async def job() -> None:
        call, others = Call(), 0
        call.say(HEAD + chunk(list_text(4, LONG)))
        assert (
            call.told.count("heard") == 1 and not call.transport.reading and call.connection.has_unread_data()
        )
        while call.connection.is_processing:
            before = call.told.count("heard")
            await asyncio.sleep(0)  # another callback's turn
            others += 1
            assert call.told.count("heard") <= before + 1
        pieces = -(-(len(LONG)) // CHUNK_BYTES)
        assert pieces - 1 <= others <= pieces + 1 and not call.transport.reading
        await call.all_read()
        assert call.transport.reading  # not in the same turn as the last piece
        assert sum(one for one in call.words if isinstance(one, int)) < 5000
        assert max(one for one in call.words if isinstance(one, int)) < 700

    run(job())


def test_short_answers_are_read_as_they_come() -> None:
    async def job() -> None:
        call = Call()
        call.say(HEAD + chunk(list_text(4, entries_text(100))))
        assert len(call.words) == 2 and call.transport.reading and not call.connection.is_processing

    run(job())


@pytest.mark.parametrize("lost", [True, False])
def test_end_that_comes_while_pieces_wait_is_heard_of_behind_them(lost: bool) -> None:
    """An answer with no length ends with its stream; what it holds is whole only then."""

    async def job() -> None:
        call = Call()
        call.say(NO_LENGTH + list_text(4, LONG) + b'{"generation":5}')
        call.connection.eof_received()
        if lost:
            call.connection.connection_lost(None)
        assert not call.connection.finished.done()
        await call.all_read()
        assert call.words[-1] == b'{"generation":5}' and call.connection.closed
        assert call.connection.finished.done() is lost

    run(job())


def test_reset_is_no_end_and_comes_behind_what_waits() -> None:
    async def job() -> None:
        call = Call()
        call.say(NO_LENGTH + list_text(4, LONG) + b'{"generation":5}\n{"generation":6')
        call.connection.connection_lost(ConnectionResetError())
        await call.all_read()
        await turns()
        assert call.words[-2:] == [b'{"generation":5}', b""] and call.connection.finished.done()

    run(job())


def test_our_own_close_drops_what_waits_at_once() -> None:
    async def job() -> None:
        call = Call()
        call.say(HEAD + chunk(list_text(4, LONG)))
        told = list(call.told)
        call.connection.close()
        assert (
            not call.connection.is_processing
            and not call.connection.pending_chunks
            and call.transport.closing
        )
        await turns()
        assert call.told == told
        call.connection.connection_lost(None)
        assert call.connection.finished.done()

    run(job())


def test_close_while_a_lost_connections_pieces_wait_ends_the_call() -> None:
    """Else whoever waits for its end would wait for ever."""

    async def job() -> None:
        call = Call()
        call.say(HEAD + chunk(list_text(4, LONG)))
        call.connection.connection_lost(None)
        call.connection.close()
        assert call.connection.finished.done()

    run(job())


def test_steps_of_an_object_go_before_what_came_behind_it_one_a_turn() -> None:
    async def job() -> None:
        def steps(word: bytes) -> Steps | None:
            def some() -> Steps:
                for number in range(3):
                    call.told.append(f"step {number}")
                    yield

            return some() if b"4" in word else None

        call = Call(steps)
        call.say(HEAD + chunk(b'{"v":4}\n{"v":5}\n'))  # in one short chunk
        call.say(chunk(b'{"v":6}\n'))
        seen = []
        while call.connection.is_processing:
            seen.append(len(call.told))
            assert call.connection.has_unread_data() and not call.transport.reading
            await asyncio.sleep(0)
        assert seen[:4] == [1, 2, 3, 4]
        await call.all_read()
        said = [b'{"v":4}', "step 0", "step 1", "step 2", b"", b'{"v":5}', b"", b'{"v":6}', b""]
        assert call.words == said and call.transport.reading

    run(job())


@pytest.mark.parametrize(
    ("error", "line"),
    [
        (ValueError("odd"), "malformed watch response: odd"),
        (ZeroDivisionError(), "malformed watch response"),
        (RuntimeError("a fault of ours"), "a fault of ours"),
    ],
)
def test_error_in_a_step_costs_the_connection(
    error: Exception, line: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def job() -> None:
        def steps(word: bytes) -> Steps:
            yield
            raise error

        call = Call(steps)
        call.say(HEAD + chunk(b'{"v":4}{"v":5}'))
        await call.all_read()
        assert call.transport.closing and call.words == [b'{"v":4}'] and line in caplog.text

    run(job())
