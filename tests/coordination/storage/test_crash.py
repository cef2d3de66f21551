"""A crash between any two calls, with what was not synced there, gone or torn; and calls that fail."""

import errno
from collections.abc import Iterator
from pathlib import Path

import pytest

from molereach.coordination.interface.disk import Persist
from molereach.coordination.storage.errors import FolderError
from molereach.coordination.storage.folder import LogFolder, OpenedFolder
from tests.coordination.storage.medium import Crash, Medium, MemoryDisk

BATCHES = [
    [Persist(1, (b"a",))],
    [Persist(2, (b"b", b"c")), Persist(3, ()), Persist(4, (b"d" * 600,))],
    [Persist(5, (b"gone",)), Persist(6, (b"e",), b"BASE 1"), Persist(7, (b"f",))],
    [Persist(8, (b"g",))],
    [Persist(9, (), b"")],
    [Persist(10, (b"h", b"i"))],
]
REOPENED_AFTER = 3  # batches; then the folder is opened again
State = tuple[bytes | None, list[bytes]]


def states() -> list[State]:
    """After no batch, after the first, and so on."""
    found: list[State] = [(None, [])]
    for batch in BATCHES:
        base, records = found[-1][0], list(found[-1][1])
        for persist in batch:
            if persist.base is not None:
                base, records = persist.base, []
            records += persist.records
        found.append((base, records))
    return found


def opened(medium: Medium) -> OpenedFolder:
    identity = len(medium.names).to_bytes(16)
    return LogFolder.open(Path("/folder"), "d1", lambda: identity, MemoryDisk.on(medium))


def state(found: OpenedFolder) -> State:
    return found.base, found.records


def played(medium: Medium) -> Iterator[str]:
    """Run the script; the identity after the opening and after each batch that was told."""
    found = opened(medium)
    yield found.identity
    for number, batch in enumerate(BATCHES, 1):
        found.folder.write(batch)
        yield found.identity
        if number == REOPENED_AFTER:
            found.folder.close()
            found = opened(medium)
            assert state(found) == states()[number]


def told(medium: Medium) -> list[str]:
    found = []
    try:
        for identity in played(medium):
            found.append(identity)
    except Crash:
        pass
    return found


def test_crash_between_every_two_calls_finds_the_state_before_or_after() -> None:
    whole = Medium()
    assert len(told(whole)) == len(BATCHES) + 1
    seen = 0
    for cut in range(len(whole.calls) + 1):
        medium = Medium()
        medium.crash_at = cut
        before = told(medium)
        for left in medium.after_crash():
            found = opened(left)
            assert sorted(name.split(".")[0] for name in left.names) == ["base", "identity", "tail"]
            batches = max(0, len(before) - 1)
            assert state(found) in states()[batches : batches + 2], (cut, whole.calls[cut - 1 : cut + 1])
            assert not before or found.identity == before[0]
            seen += 1
    assert seen > 500


def test_write_that_is_torn_at_every_byte_is_as_if_it_had_not_begun() -> None:
    whole, torn = Medium(), 0
    told(whole)
    for cut, call in enumerate(whole.calls):
        for count in range(whole.sizes.get(cut, 0)):
            medium = Medium()
            medium.crash_at, medium.most_written = cut, count
            batches = max(0, len(told(medium)) - 1)
            assert state(opened(medium.restarted())) == states()[batches], (call, count)
            torn += 1
    assert torn > 1500


def test_crash_at_every_call_of_an_opening_loses_nothing() -> None:
    whole = Medium()
    told(whole)
    for first in range(len(whole.calls)):
        for second in range(40):
            medium = Medium()
            medium.crash_at = first
            batches = max(0, len(told(medium)) - 1)
            medium.restarted().crash_at = len(medium.calls) + second
            try:
                opened(medium)
                break
            except Crash:
                for left in medium.after_crash():
                    assert state(opened(left)) in states()[batches : batches + 2], (first, second)
        else:
            raise AssertionError("an opening has no end")


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_call_that_fails_disables_the_folder_for_good_and_loses_nothing_synced(number: int) -> None:
    whole = Medium()
    list(played(whole))
    for cut in range(len(whole.calls)):
        medium = Medium()
        medium.fail, medium.most_written = {cut: OSError(number, "the disk says no", "name")}, 5
        done: list[str] = []
        with pytest.raises(FolderError, match=r"^/folder/name: the disk says no$"):
            for identity in played(medium):
                done.append(identity)
        for left in (*medium.after_crash(), medium.restarted()):
            batches = max(0, len(done) - 1)
            assert state(opened(left)) in states()[batches : batches + 2], (cut, whole.calls[cut])


def test_nothing_is_written_or_synced_after_a_failure() -> None:
    medium = Medium()
    found = opened(medium)
    medium.fail = {len(medium.calls) + 1: OSError(errno.EIO, "Input/output error", "tail.0")}
    with pytest.raises(FolderError, match=r"tail\.0: Input"):
        found.folder.write(BATCHES[0])
    calls = len(medium.calls)
    for batch in BATCHES:
        with pytest.raises(FolderError, match="has failed before"):
            found.folder.write(batch)
    assert len(medium.calls) == calls


def test_what_an_opening_finds_after_a_failed_sync_is_on_the_disk_from_then_on() -> None:
    """The system takes the pages of a failed sync for written: a reader sees them, the plate has nothing."""
    medium = Medium()
    found = opened(medium)
    medium.fail = {len(medium.calls) + 1: OSError(errno.EIO, "Input/output error", "tail.0")}
    with pytest.raises(FolderError):
        found.folder.write(BATCHES[0])
    found = opened(medium.restarted())
    assert found.records == [b"a"]  # what follows may rest on it
    found.folder.write([Persist(1, (b"more",))])
    for left in medium.after_crash():
        assert opened(left).records == [b"a", b"more"]
