"""An agent's journal: truncated or damaged files, failed writes, killed processes, and its lock."""

import errno
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from molereach.fleet import journal
from molereach.fleet.agreement import Acceptor, AcceptorState, Ballot, Prepare
from molereach.fleet.journal import AgentState, Journal, JournalError, decode, encode
from molereach.fleet.orders import Decided, Order, OrderStateRecord, Verb

ROOT = Path(__file__).parents[2]


def state(revisions: int = 3) -> AgentState:
    orders = tuple(
        Decided(number, Order(f"o{number}", Verb.DRAIN, "s1", "duty", 'why "\u00e9"', number - 1))
        for number in range(1, revisions + 1)
    )
    promised = AcceptorState(
        revisions + 1, Ballot(7, "t1"), Ballot(5, "t2"), Order("x", Verb.HOLD, "n1", "duty", "r", 0, 99, True)
    )
    return AgentState("a1", promised, OrderStateRecord(revisions, orders, orders))


def test_saved_state_is_loaded(tmp_path: Path) -> None:
    agent_journal = Journal(tmp_path / "j", "a1")
    assert agent_journal.load() == AgentState("a1")
    agent_journal.save(state())
    agent_journal.close()
    reopened_journal = Journal(tmp_path / "j", "a1")
    assert reopened_journal.load() == state()
    assert (tmp_path / "j").stat().st_mode & 0o777 == 0o600
    agent = Acceptor(reopened_journal.load().promised, reopened_journal.load().order_state)
    assert agent.order_state.revision == 3 and agent.handle(Prepare(4, Ballot(6, "t9")))[0] != []
    reopened_journal.close()


def test_every_truncation_and_every_changed_byte_is_rejected() -> None:
    data = encode(state(1))
    for end in range(len(data)):
        with pytest.raises(ValueError):
            decode(data[:end])
    for position in range(len(data)):
        damaged = bytearray(data)
        damaged[position] ^= 1 + position % 255
        with pytest.raises(ValueError):
            decode(bytes(damaged))
    with pytest.raises(ValueError, match="as long as it says"):
        decode(data + b"x")


def test_invalid_file_is_a_one_line_error_and_not_an_empty_state(tmp_path: Path) -> None:
    file = tmp_path / "j"
    newer_version = bytearray(encode(state()))
    newer_version[len(journal.MAGIC)] = 9
    inconsistent = encode(AgentState("a1", order_state=OrderStateRecord(1, state().order_state.in_force)))
    for data, reason in (
        (encode(state())[:-1], "as long as it says"),
        (b"", "no journal"),
        (bytes(newer_version), "version 9"),
        (inconsistent, "in_force"),
        (encode(AgentState("a9")), "agent 'a9'"),
    ):
        file.write_bytes(data)
        agent_journal = Journal(file, "a1")
        with pytest.raises(JournalError, match=reason) as caught:
            agent_journal.load()
        assert str(file) in str(caught.value) and "\n" not in str(caught.value)
        assert file.read_bytes() == data
        agent_journal.close()


def test_open_journal_is_locked_by_one_agent(tmp_path: Path) -> None:
    agent_journal = Journal(tmp_path / "j", "a1")
    with pytest.raises(JournalError, match="another agent has it"):
        Journal(tmp_path / "j", "a1")
    agent_journal.close()
    Journal(tmp_path / "j", "a1").close()
    with pytest.raises(JournalError, match="No such file"):
        Journal(tmp_path / "none" / "j", "a1")


SYSTEM_CALLS = ["open", "write", "fsync", "replace"]


@pytest.mark.parametrize("system_call", SYSTEM_CALLS)
def test_disk_error_preserves_the_old_state_and_stops_further_writes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, system_call: str
) -> None:
    agent_journal = Journal(tmp_path / "j", "a1")
    agent_journal.save(state(1))

    def fails(*arguments: object, **keywords: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(journal.os, system_call, fails)
        with pytest.raises(JournalError, match="No space left"):
            agent_journal.save(state(2))
    assert agent_journal.load() == state(1)
    with pytest.raises(JournalError, match="failed before"):
        agent_journal.save(state(3))  # a second sync may succeed although data was lost
    agent_journal.close()
    reopened_journal = Journal(tmp_path / "j", "a1")
    reopened_journal.save(state(2))
    assert reopened_journal.load() == state(2)
    reopened_journal.close()


def test_short_writes_are_continued(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    os_write: Callable[[int, bytes], int] = os.write
    monkeypatch.setattr(journal.os, "write", lambda file, data: os_write(file, bytes(data[:7])))
    agent_journal = Journal(tmp_path / "j", "a1")
    agent_journal.save(state())
    assert agent_journal.load() == state()
    agent_journal.close()


WRITER = """
import itertools, sys
from pathlib import Path
from molereach.fleet.journal import AgentState, Journal
from molereach.fleet.orders import OrderStateRecord, Decided, Order, Verb
agent_journal = Journal(Path(sys.argv[1]), "a1")
orders = agent_journal.load().order_state.recent
for number in itertools.count(len(orders) + 1):
    orders += (Decided(number, Order(f"o{number}", Verb.DRAIN, "s1", "duty", "r" * 200, 0)),)
    agent_journal.save(AgentState("a1", order_state=OrderStateRecord(number, (), orders)))
    print(number, flush=True)
"""


def test_journal_of_a_killed_process_holds_every_reported_write(tmp_path: Path) -> None:
    """Guards against losing a reported write, or leaving an invalid file, when the process is killed."""
    random = Random(5)
    for _ in range(12):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path / "j")], cwd=ROOT, stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        reported = 0
        for _ in range(random.randint(1, 12)):
            reported = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        remaining_output, _ = process.communicate()
        reported = int(remaining_output.split()[-1]) if remaining_output.split() else reported
        agent_journal = Journal(tmp_path / "j", "a1")
        assert len(agent_journal.load().order_state.recent) in (reported, reported + 1)
        agent_journal.close()
