"""What `council_recording` writes of the state machines."""

import msgspec

from tests.compatibility import machines_log, machines_replica, machines_values
from tests.compatibility.council_files import hex_text, write_once


def record_entries() -> None:
    """The entries of the sample log, and what they come to."""
    entries, outcomes = machines_log.entries(), machines_replica.outcomes()
    for name, values in (
        (machines_replica.ENTRIES_FILE, entries),
        (machines_replica.OUTCOMES_FILE, outcomes),
    ):
        encoded = {key: msgspec.msgpack.encode(value) for key, value in values.items()}
        write_once(name, hex_text(encoded).encode("ascii"))


def record_snapshots() -> None:
    """Snapshots of each machine and of the log, and their hashes, at each moment."""
    for moment, position in machines_replica.MOMENTS.items():
        replica = machines_replica.replica_at(position)
        for name, machine in replica.machines.items():
            write_once(machines_replica.snapshot_file(name, moment), machine.snapshot())
        write_once(machines_replica.log_snapshot_file(moment), replica.snapshot_bytes())
        write_once(machines_replica.hashes_file(moment), replica.hashes().encode("ascii"))


def record_values() -> None:
    """The receipt of a purge, words about counts, accounts, maps, ids, and values of enums."""
    replica = machines_replica.replica_at(machines_replica.MOMENTS["end"])
    write_once(machines_replica.RECEIPT_FILE, replica.receipt())
    write_once(machines_values.COUNTS_FILE, hex_text(machines_values.encoded_counts()).encode("ascii"))
    write_once(machines_values.MAPS_FILE, hex_text(machines_values.encoded_maps()).encode("ascii"))
    write_once(machines_values.PURGE_IDS_FILE, machines_values.purge_ids().encode("ascii"))
    write_once(machines_values.ACCOUNTS_FILE, msgspec.json.encode(machines_values.accounts(replica)))
    write_once(machines_values.ENUMS_FILE, machines_values.enum_values().encode("ascii"))


def record_machines() -> None:
    """Write all that is not there yet."""
    record_entries()
    record_snapshots()
    record_values()
