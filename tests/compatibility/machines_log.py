"""The sample log: the commands of all machines as entries, and the codecs of their bodies."""

from collections.abc import Callable, Mapping
from typing import Any, get_args

import msgspec

from molereach.cache.purge import bodies as purge_bodies
from molereach.coordination.interface.log import Entry
from molereach.coordination.leases import bodies as lease_bodies
from molereach.coordination.replicated_log import voters as log_panel
from molereach.coordination.replicated_log.learner import LOG_MACHINE
from molereach.shards.counts import bodies as count_bodies
from molereach.shards.splits import bodies as split_bodies
from molereach.upkeep.permits import bodies as upkeep_bodies
from tests.compatibility import machines_refused, machines_samples
from tests.compatibility.machines_samples import START_MS, Command


def commands() -> list[Command]:
    """All commands of the log, in order."""
    machines = list(ENCODERS)
    return [
        *machines_samples.commands(),
        *machines_refused.commands(),
        *machines_refused.not_understood(machines),
    ]


def encode_body(command: Command) -> bytes:
    """A command's body as its machine's own codec writes it."""
    if isinstance(command.body, bytes):
        return command.body
    return ENCODERS[command.machine](command.body)


def entries() -> dict[str, Entry]:
    """The log, by the names of its commands."""
    found, at_ms = {}, START_MS
    for position, command in enumerate(commands(), start=1):
        at_ms += command.later_ms
        found[f"{position:02}-{command.machine}-{command.name}"] = Entry(
            position=position,
            machine=command.machine,
            id=command.id or f"id-{position}",
            proposer=command.proposer,
            at_ms=at_ms,
            body=encode_body(command),
        )
    return found


def _encode_change(body: log_panel.Change) -> bytes:
    return msgspec.json.encode(body)


def _decode_change(data: bytes) -> log_panel.Change:
    return msgspec.json.decode(data, type=log_panel.Change)


ENCODERS: Mapping[str, Callable[[Any], bytes]] = {
    lease_bodies.MACHINE: lease_bodies.encode,
    split_bodies.MACHINE: split_bodies.encode,
    upkeep_bodies.MACHINE: upkeep_bodies.encode,
    purge_bodies.MACHINE: purge_bodies.encode,
    count_bodies.MACHINE: count_bodies.encode,
    LOG_MACHINE: _encode_change,
}
DECODERS: Mapping[str, Callable[[bytes], Any]] = {
    lease_bodies.MACHINE: lease_bodies.decode,
    split_bodies.MACHINE: split_bodies.decode,
    upkeep_bodies.MACHINE: upkeep_bodies.decode,
    purge_bodies.MACHINE: purge_bodies.decode,
    count_bodies.MACHINE: count_bodies.decode,
    LOG_MACHINE: _decode_change,
}
BODY_TYPES: Mapping[str, tuple[type, ...]] = {
    lease_bodies.MACHINE: get_args(lease_bodies.Body),
    split_bodies.MACHINE: get_args(split_bodies.Body),
    upkeep_bodies.MACHINE: get_args(upkeep_bodies.Body),
    purge_bodies.MACHINE: get_args(purge_bodies.Body),
    count_bodies.MACHINE: get_args(count_bodies.Body),
}
