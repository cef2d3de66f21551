"""Crashes between any two disk calls, with unsynced data kept, lost or torn; and calls that fail."""

import errno
from collections.abc import Iterator
from pathlib import Path

import pytest

from molereach.coordination.interface.disk import Persist
from molereach.coordination.storage.errors import FolderError
from molereach.coordination.storage.folder import LogFolder, OpenedFolder
from tests.coordination.storage.medium import Medium, MemoryDisk, SimulatedCrash

BATCHES = [
    [Persist(1, (b"a",))],
    [Persist(2, (b"b", b"c")), Persist(3, ()), Persist(4, (b"d" * 600,))],
    [Persist(5, (b"gone",)), Persist(6, (b"e",), b"BASE 1"), Persist(7, (b"f",))],
    [Persist(8, (b"g",))],
    [Persist(9, (), b"")],
    [Persist(10, (b"h", b"i"))],
]
REOPEN_AFTER_BATCHES = 3  # the folder is reopened after so many batches
State = tuple[bytes | None, list[bytes]]


def expected_states() -> list[State]:
    """The contents after no batch, after the first batch, and so on."""
    states: list[State] = [(None, [])]
    for batch in BATCHES:
        base, records = states[-1][0], list(states[-1][1])
        for persist in batch:
            if persist.base is not None:
                base, records = persist.base, []
            records += persist.records
        states.append((base, records))
    return states


def open_folder(medium: Medium) -> OpenedFolder:
    identity = len(medium.names).to_bytes(16)
    return LogFolder.open(Path("/folder"), "d1", lambda: identity, MemoryDisk.opener_for(medium))


def contents(opened: OpenedFolder) -> State:
    return opened.base, opened.records


def run_batches(medium: Medium) -> Iterator[str]:
    """Write all batches; yields the folder's identity after the opening and after each batch."""
    opened = open_folder(medium)
    yield opened.identity
    for number, batch in enumerate(BATCHES, 1):
        opened.folder.write(batch)
        yield opened.identity
        if number == REOPEN_AFTER_BATCHES:
            opened.folder.close()
            opened = open_folder(medium)
            assert contents(opened) == expected_states()[number]


def run_until_crash(medium: Medium) -> list[str]:
    """The identities that `run_batches` yields before the injected crash."""
    identities = []
    try:
        for identity in run_batches(medium):
            identities.append(identity)
    except SimulatedCrash:
        pass
    return identities


def test_crash_between_any_two_calls_leaves_the_state_before_or_after_a_batch() -> None:
    uninterrupted = Medium()
    assert len(run_until_crash(uninterrupted)) == len(BATCHES) + 1
    state_count = 0
    for call_number in range(len(uninterrupted.calls) + 1):
        medium = Medium()
        medium.crash_at = call_number
        identities = run_until_crash(medium)
        for crashed in medium.states_after_crash():
            opened = open_folder(crashed)
            assert sorted(name.split(".")[0] for name in crashed.names) == ["base", "identity", "tail"]
            batch_count = max(0, len(identities) - 1)
            assert contents(opened) in expected_states()[batch_count : batch_count + 2], (
                call_number,
                uninterrupted.calls[call_number - 1 : call_number + 1],
            )
            assert not identities or opened.identity == identities[0]
            state_count += 1
    assert state_count > 500


def test_write_torn_at_any_byte_is_discarded() -> None:
    uninterrupted, torn_count = Medium(), 0
    run_until_crash(uninterrupted)
    for call_number, call in enumerate(uninterrupted.calls):
        for count in range(uninterrupted.write_sizes.get(call_number, 0)):
            medium = Medium()
            medium.crash_at, medium.torn_bytes = call_number, count
            batch_count = max(0, len(run_until_crash(medium)) - 1)
            assert contents(open_folder(medium.restarted())) == expected_states()[batch_count], (call, count)
            torn_count += 1
    assert torn_count > 1500


def test_crash_at_any_call_of_the_next_opening_loses_nothing() -> None:
    uninterrupted = Medium()
    run_until_crash(uninterrupted)
    for first_crash in range(len(uninterrupted.calls)):
        for second_crash in range(40):
            medium = Medium()
            medium.crash_at = first_crash
            batch_count = max(0, len(run_until_crash(medium)) - 1)
            medium.restarted().crash_at = len(medium.calls) + second_crash
            try:
                open_folder(medium)
                break
            except SimulatedCrash:
                for crashed in medium.states_after_crash():
                    assert (
                        contents(open_folder(crashed)) in expected_states()[batch_count : batch_count + 2]
                    ), (first_crash, second_crash)
        else:
            raise AssertionError("the opening does not finish within 40 calls")


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EIO])
def test_failed_call_disables_the_folder_and_loses_nothing_synced(error_number: int) -> None:
    uninterrupted = Medium()
    list(run_batches(uninterrupted))
    for call_number in range(len(uninterrupted.calls)):
        medium = Medium()
        medium.failures, medium.torn_bytes = (
            {call_number: OSError(error_number, "simulated failure", "name")},
            5,
        )
        identities: list[str] = []
        with pytest.raises(FolderError, match=r"^/folder/name: simulated failure$"):
            for identity in run_batches(medium):
                identities.append(identity)
        for crashed in (*medium.states_after_crash(), medium.restarted()):
            batch_count = max(0, len(identities) - 1)
            assert contents(open_folder(crashed)) in expected_states()[batch_count : batch_count + 2], (
                call_number,
                uninterrupted.calls[call_number],
            )


def test_nothing_is_written_or_synced_after_a_failure() -> None:
    medium = Medium()
    opened = open_folder(medium)
    medium.failures = {len(medium.calls) + 1: OSError(errno.EIO, "Input/output error", "tail.0")}
    with pytest.raises(FolderError, match=r"tail\.0: Input"):
        opened.folder.write(BATCHES[0])
    call_count = len(medium.calls)
    for batch in BATCHES:
        with pytest.raises(FolderError, match="has failed before"):
            opened.folder.write(batch)
    assert len(medium.calls) == call_count


def test_records_read_after_a_failed_sync_are_made_durable() -> None:
    """Guards against data that is lost although it was read after a restart.

    The system marks the pages of a failed sync as clean: a reader sees the data, but the disk lacks it.
    """
    medium = Medium()
    opened = open_folder(medium)
    medium.failures = {len(medium.calls) + 1: OSError(errno.EIO, "Input/output error", "tail.0")}
    with pytest.raises(FolderError):
        opened.folder.write(BATCHES[0])
    opened = open_folder(medium.restarted())
    assert opened.records == [b"a"]  # later records may depend on it
    opened.folder.write([Persist(1, (b"more",))])
    for crashed in medium.states_after_crash():
        assert open_folder(crashed).records == [b"a", b"more"]
