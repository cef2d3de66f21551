"""Recorded journals, frames and bodies of a fleet are read as the values that they were made of."""

from pathlib import Path

import msgspec
import pytest

from molereach.fleet import agreement, api_bodies, journal, order_state, orders, wire
from molereach.fleet.agent import api
from molereach.fleet.cli.client import decode_response
from molereach.fleet.cli.runner import Replies
from molereach.fleet.rollout import report
from tests.compatibility import fleet_samples as samples
from tests.compatibility.recording import recorded, recorded_lines

HTTP_OK = 200


def bodies(name: str, most: int) -> list[bytes]:
    """The bodies of the frames in a recorded file, which has nothing else."""
    reader = wire.FrameReader(most)
    reader.feed(recorded(name))
    found: list[bytes] = []
    while (body := reader.next()) is not None:
        found.append(body)
    assert not reader.buffer
    return found


def read_lines(name: str, kind: type) -> tuple[object, ...]:
    """The values in a recorded file, each of one type."""
    return tuple(msgspec.json.decode(line, type=kind) for line in recorded_lines(name))


@pytest.mark.parametrize("name", samples.JOURNALS)
def test_journal_is_replayed_and_saved_as_it_was(name: str, tmp_path: Path) -> None:
    content, path = recorded(f"fleet-journal-{name}.bin"), tmp_path / "journal"
    path.write_bytes(content)
    opened = journal.Journal(path, samples.AGENT)
    try:
        state = opened.load()
        assert state == samples.JOURNALS[name]
        acceptor = agreement.Acceptor(state.promised, state.order_state)
        path.unlink()
        opened.save(
            journal.AgentState(
                agent=state.agent, promised=acceptor.state, order_state=acceptor.order_state.to_record()
            )
        )
    finally:
        opened.close()
    assert path.read_bytes() == content


@pytest.mark.parametrize("name", samples.JOURNALS)
def test_journal_of_another_agent_is_refused(name: str, tmp_path: Path) -> None:
    path = tmp_path / "journal"
    path.write_bytes(recorded(f"fleet-journal-{name}.bin"))
    opened = journal.Journal(path, samples.PEER)
    try:
        with pytest.raises(journal.JournalError):
            opened.load()
    finally:
        opened.close()


def test_asks_of_front_doors_are_read_as_sent() -> None:
    found = bodies("fleet-control-asks.bin", wire.MAX_REQUEST_BYTES)
    assert tuple(map(wire.decode_request, found)) == samples.ASKS


def test_answers_of_front_doors_are_read_as_sent() -> None:
    found = bodies("fleet-control-answers.bin", wire.MAX_RESPONSE_BYTES)
    assert tuple(map(wire.decode_response, found)) == samples.ANSWERS


def test_orders_and_books_are_read_as_written() -> None:
    assert read_lines("fleet-orders.json", orders.Decided) == samples.DECIDED
    books = read_lines("fleet-books.json", orders.OrderStateRecord)
    assert books == samples.BOOKS
    for book in books:
        assert isinstance(book, orders.OrderStateRecord)
        assert order_state.OrderState(book).to_record() == book


def test_messages_of_the_agreement_are_read_by_agents_as_sent() -> None:
    found = tuple(api._message_decoder.decode(line) for line in recorded_lines("fleet-agreement.json"))
    assert found == samples.MESSAGES
    for message in found:
        api.check_message(message)


def test_replies_of_the_agreement_are_read_by_tools_as_sent() -> None:
    assert decode_response(HTTP_OK, recorded("fleet-api-replies.json"), Replies) == samples.MESSAGES


def test_bodies_of_the_api_are_read_by_tools_as_sent() -> None:
    for line, body in zip(recorded_lines("fleet-api-bodies.json"), samples.BODIES, strict=True):
        assert decode_response(HTTP_OK, line.encode(), type(body)) == body


def test_events_are_read_by_watchers_as_sent() -> None:
    assert read_lines("fleet-api-events.json", api_bodies.Event) == samples.EVENTS


def test_reports_are_read_as_written() -> None:
    assert read_lines("fleet-reports.json", report.Report) == samples.REPORTS
