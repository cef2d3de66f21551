"""Words about counts, digests, accounts, maps, ids, and the values of enums keep their recorded bytes."""

import json
from typing import get_args

import msgspec
import pytest

from molereach.cache.purge.ids import drawn_position
from molereach.coordination.interface.clearance import NodeClearance
from molereach.shards.counts import messages as shard_messages
from molereach.shards.map.delta import Delta, apply_delta
from molereach.shards.map.shard_map import ShardMap
from tests.compatibility import machines_replica, machines_values
from tests.compatibility.council_files import recorded_bytes, recorded_values

MESSAGES = machines_values.count_messages()


def test_words_about_counts_are_encoded_to_the_recorded_bytes() -> None:
    assert machines_values.encoded_counts() == recorded_values(machines_values.COUNTS_FILE)
    assert {type(message) for message in MESSAGES.values()} == set(get_args(shard_messages.Message))


@pytest.mark.parametrize("name", MESSAGES)
def test_a_recorded_word_about_counts_is_decoded_to_the_same_value(name: str) -> None:
    decoded = shard_messages.decode(recorded_values(machines_values.COUNTS_FILE)[name])
    assert type(decoded) is type(MESSAGES[name])
    assert decoded == MESSAGES[name]


def test_a_digest_of_the_recorded_nodes_is_the_recorded_one() -> None:
    recorded = recorded_values(machines_values.COUNTS_FILE)
    heard, joined = (shard_messages.decode(recorded[name]) for name in ("digest", "joined"))
    assert isinstance(heard, shard_messages.DigestReport)
    assert machines_values.joined_sketch(heard) == joined
    assert sum(node.weight for node in heard.nodes) == machines_values.digest().total


def test_maps_and_their_difference_are_encoded_to_the_recorded_bytes() -> None:
    assert machines_values.encoded_maps() == recorded_values(machines_values.MAPS_FILE)


def test_a_recorded_difference_is_applied_to_the_recorded_map() -> None:
    recorded, values = recorded_values(machines_values.MAPS_FILE), machines_values.map_values()
    first, second = (msgspec.json.decode(recorded[name], type=ShardMap) for name in ("first", "second"))
    delta = msgspec.json.decode(recorded["delta"], type=Delta)
    assert {"first": first, "second": second, "delta": delta} == values
    assert apply_delta(first, delta) == second


def test_ids_of_purges_are_drawn_as_recorded() -> None:
    recorded = recorded_bytes(machines_values.PURGE_IDS_FILE)
    assert machines_values.purge_ids().encode() == recorded
    assert all(drawn_position(drawn) == int(position) for position, drawn in json.loads(recorded).items())


def test_accounts_have_the_recorded_bytes() -> None:
    replica = machines_replica.replica_at(machines_replica.MOMENTS["end"])
    recorded = recorded_bytes(machines_values.ACCOUNTS_FILE)
    accounts = machines_values.accounts(replica)
    assert msgspec.json.encode(accounts) == recorded
    assert msgspec.json.decode(recorded, type=dict[str, tuple[NodeClearance, ...]]) == accounts


def test_enums_have_the_recorded_values() -> None:
    assert machines_values.enum_values().encode() == recorded_bytes(machines_values.ENUMS_FILE)
