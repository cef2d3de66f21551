"""Entries of all state machines, what they come to, and snapshots keep their recorded bytes."""

import msgspec
import pytest

from molereach.cache.purge.bodies import CompletionResult, RequestResult
from molereach.cache.purge.receipt import Receipt, is_intact
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.sessions import ActiveSession
from molereach.coordination.replicated_log import records
from molereach.shards.splits.record import SplitRecord
from molereach.upkeep.permits.record import ItemRecord
from tests.compatibility import machines_log, machines_replica
from tests.compatibility.council_files import recorded_bytes, recorded_values
from tests.compatibility.machines_replica import MACHINES, MOMENTS, Replica

COMMANDS = machines_log.commands()
ENTRIES = machines_log.entries()


def recorded_entries() -> list[Entry]:
    """The recorded log."""
    recorded = recorded_values(machines_replica.ENTRIES_FILE)
    return [msgspec.msgpack.decode(data, type=Entry) for data in recorded.values()]


def replica_of_recorded(position: int) -> Replica:
    """A replica that has applied the recorded log up to a position."""
    replica = Replica()
    replica.apply(recorded_entries()[:position])
    return replica


def test_entries_are_encoded_to_the_recorded_bytes() -> None:
    encoded = {name: msgspec.msgpack.encode(entry) for name, entry in ENTRIES.items()}
    assert encoded == recorded_values(machines_replica.ENTRIES_FILE)


def test_recorded_entries_are_decoded_to_the_same_values() -> None:
    assert recorded_entries() == list(ENTRIES.values())


@pytest.mark.parametrize("index", range(len(COMMANDS)), ids=list(ENTRIES))
def test_a_recorded_body_is_decoded_to_its_command(index: int) -> None:
    command, entry = COMMANDS[index], recorded_entries()[index]
    assert machines_log.encode_body(command) == entry.body
    if not isinstance(command.body, bytes):
        assert machines_log.DECODERS[command.machine](entry.body) == command.body
    elif command.machine in machines_log.DECODERS:
        with pytest.raises((ValueError, msgspec.DecodeError)):
            machines_log.DECODERS[command.machine](entry.body)


@pytest.mark.parametrize("machine", MACHINES)
def test_each_kind_of_body_of_a_machine_is_in_the_log(machine: str) -> None:
    types = {type(command.body) for command in COMMANDS if command.machine == machine}
    assert types - {bytes} == set(machines_log.BODY_TYPES[machine])


def test_the_recorded_entries_come_to_the_recorded_outcomes() -> None:
    outcomes = Replica().apply(recorded_entries())
    recorded = recorded_values(machines_replica.OUTCOMES_FILE)
    assert dict(zip(ENTRIES, map(msgspec.msgpack.encode, outcomes), strict=True)) == recorded
    assert outcomes == [msgspec.msgpack.decode(data, type=Outcome) for data in recorded.values()]


VALUE_TYPES = {
    "01-sessions-open": ActiveSession,
    "09-shards-hand": SplitRecord,
    "22-upkeep-back": ItemRecord,
    "27-purge-ask-class": RequestResult,
    "29-purge-done": CompletionResult,
}


@pytest.mark.parametrize("name", VALUE_TYPES)
def test_the_value_of_a_recorded_outcome_is_decoded_and_encoded_again(name: str) -> None:
    recorded = recorded_values(machines_replica.OUTCOMES_FILE)[name]
    outcome = msgspec.msgpack.decode(recorded, type=Outcome)
    value = msgspec.json.decode(outcome.value, type=VALUE_TYPES[name])
    again = Outcome(error="", value=msgspec.json.encode(value))
    assert msgspec.msgpack.encode(again) == recorded


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("machine", MACHINES)
def test_the_recorded_entries_come_to_the_recorded_snapshot(machine: str, moment: str) -> None:
    replica = replica_of_recorded(MOMENTS[moment])
    recorded = recorded_bytes(machines_replica.snapshot_file(machine, moment))
    assert replica.machines[machine].snapshot() == recorded


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("machine", MACHINES)
def test_a_recorded_snapshot_is_restored_and_written_again(machine: str, moment: str) -> None:
    recorded, restored = recorded_bytes(machines_replica.snapshot_file(machine, moment)), Replica()
    restored.machines[machine].restore(recorded)
    assert restored.machines[machine].snapshot() == recorded


@pytest.mark.parametrize("moment", MOMENTS)
def test_the_recorded_snapshot_of_the_log_is_restored_with_its_hashes(moment: str) -> None:
    recorded, restored = recorded_bytes(machines_replica.log_snapshot_file(moment)), Replica()
    assert restored.learner.restore(records.decode_snapshot(recorded)) == []
    assert restored.snapshot_bytes() == recorded
    assert restored.hashes().encode() == recorded_bytes(machines_replica.hashes_file(moment))


@pytest.mark.parametrize("moment", MOMENTS)
def test_the_recorded_entries_come_to_the_recorded_snapshot_of_the_log(moment: str) -> None:
    replica = replica_of_recorded(MOMENTS[moment])
    assert replica.snapshot_bytes() == recorded_bytes(machines_replica.log_snapshot_file(moment))
    assert replica.hashes().encode() == recorded_bytes(machines_replica.hashes_file(moment))


def test_a_replica_goes_on_from_a_recorded_snapshot_to_the_recorded_end() -> None:
    replica = Replica()
    snapshot = records.decode_snapshot(recorded_bytes(machines_replica.log_snapshot_file("middle")))
    replica.learner.restore(snapshot)
    replica.apply(recorded_entries()[MOMENTS["middle"] :])
    assert replica.snapshot_bytes() == recorded_bytes(machines_replica.log_snapshot_file("end"))
    assert replica.hashes().encode() == recorded_bytes(machines_replica.hashes_file("end"))


def test_the_receipt_of_a_purge_has_the_recorded_bytes_and_hash() -> None:
    recorded = recorded_bytes(machines_replica.RECEIPT_FILE)
    assert replica_of_recorded(MOMENTS["end"]).receipt() == recorded
    receipt = msgspec.json.decode(recorded, type=Receipt)
    assert is_intact(receipt)
    assert msgspec.json.encode(receipt) == recorded
