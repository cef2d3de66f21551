"""An agent's journal: torn, damaged, killed at every step, locked, and never taken for empty."""

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
from molereach.fleet.agreement import Acceptor, Ballot, Prepare, AcceptorState
from molereach.fleet.journal import AgentState, Journal, JournalError, decode, encode
from molereach.fleet.orders import Decided, Order, OrderStateRecord, Verb

ROOT = Path(__file__).parents[2]


def state(revisions: int = 3) -> AgentState:
    log = tuple(
        Decided(number, Order(f"o{number}", Verb.DRAIN, "s1", "duty", 'why "\u00e9"', number - 1))
        for number in range(1, revisions + 1)
    )
    promised = AcceptorState(
        revisions + 1, Ballot(7, "t1"), Ballot(5, "t2"), Order("x", Verb.HOLD, "n1", "duty", "r", 0, 99, True)
    )
    return AgentState("a1", promised, OrderStateRecord(revisions, log, log))


def test_what_is_saved_is_loaded(tmp_path: Path) -> None:
    one = Journal(tmp_path / "j", "a1")
    assert one.load() == AgentState("a1")
    one.save(state())
    one.close()
    two = Journal(tmp_path / "j", "a1")
    assert two.load() == state()
    assert (tmp_path / "j").stat().st_mode & 0o777 == 0o600
    agent = Acceptor(two.load().promised, two.load().order_state)
    assert agent.order_state.revision == 3 and agent.handle(Prepare(4, Ballot(6, "t9")))[0] != []
    two.close()


def test_every_truncation_and_every_flipped_byte_is_rejected() -> None:
    data = encode(state(1))
    for end in range(len(data)):
        with pytest.raises(ValueError):
            decode(data[:end])
    for at in range(len(data)):
        damaged = bytearray(data)
        damaged[at] ^= 1 + at % 255
        with pytest.raises(ValueError):
            decode(bytes(damaged))
    with pytest.raises(ValueError, match="as long as it says"):
        decode(data + b"x")


def test_damaged_foreign_or_newer_file_is_one_line_and_not_an_empty_state(tmp_path: Path) -> None:
    file = tmp_path / "j"
    newer = bytearray(encode(state()))
    newer[len(journal.MAGIC)] = 9
    wrong = encode(AgentState("a1", order_state=OrderStateRecord(1, state().order_state.in_force)))
    for data, reason in (
        (encode(state())[:-1], "as long as it says"),
        (b"", "no journal"),
        (bytes(newer), "version 9"),
        (wrong, "in_force"),
        (encode(AgentState("a9")), "agent 'a9'"),
    ):
        file.write_bytes(data)
        made = Journal(file, "a1")
        with pytest.raises(JournalError, match=reason) as caught:
            made.load()
        assert str(file) in str(caught.value) and "\n" not in str(caught.value)
        assert file.read_bytes() == data
        made.close()


def test_journal_belongs_to_one_agent(tmp_path: Path) -> None:
    one = Journal(tmp_path / "j", "a1")
    with pytest.raises(JournalError, match="another agent has it"):
        Journal(tmp_path / "j", "a1")
    one.close()
    Journal(tmp_path / "j", "a1").close()
    with pytest.raises(JournalError, match="No such file"):
        Journal(tmp_path / "none" / "j", "a1")


STEPS = ["open", "write", "fsync", "replace"]


@pytest.mark.parametrize("step", STEPS)
def test_disk_error_preserves_the_old_state_and_breaks_the_journal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    made = Journal(tmp_path / "j", "a1")
    made.save(state(1))

    def fails(*arguments: object, **more: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as broken:
        broken.setattr(journal.os, step, fails)
        with pytest.raises(JournalError, match="No space left"):
            made.save(state(2))
    assert made.load() == state(1)
    with pytest.raises(JournalError, match="failed before"):
        made.save(state(3))  # a second sync may lie
    made.close()
    again = Journal(tmp_path / "j", "a1")
    again.save(state(2))
    assert again.load() == state(2)
    again.close()


def test_short_writes_are_finished(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write: Callable[[int, bytes], int] = os.write
    monkeypatch.setattr(journal.os, "write", lambda file, data: write(file, bytes(data[:7])))
    made = Journal(tmp_path / "j", "a1")
    made.save(state())
    assert made.load() == state()
    made.close()


WRITER = """
import itertools, sys
from pathlib import Path
from molereach.fleet.journal import AgentState, Journal
from molereach.fleet.orders import OrderStateRecord, Decided, Order, Verb
made = Journal(Path(sys.argv[1]), "a1")
log = made.load().order_state.recent
for number in itertools.count(len(log) + 1):
    log += (Decided(number, Order(f"o{number}", Verb.DRAIN, "s1", "duty", "r" * 200, 0)),)
    made.save(AgentState("a1", order_state=OrderStateRecord(number, (), log)))
    print(number, flush=True)
"""


def test_agent_killed_while_it_writes_has_all_that_it_said(tmp_path: Path) -> None:
    """Killed at some point of a write, again and again: what was reported is there, and the file is whole."""
    random = Random(5)
    for _ in range(12):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path / "j")], cwd=ROOT, stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        said = 0
        for _ in range(random.randint(1, 12)):
            said = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        rest, _ = process.communicate()
        said = int(rest.split()[-1]) if rest.split() else said
        made = Journal(tmp_path / "j", "a1")
        assert len(made.load().order_state.recent) in (said, said + 1)
        made.close()
