"""Messages between front doors, and records of the replicated log, keep their recorded bytes."""

import pytest

from molereach.coordination.node.initial_voters import initial_voters
from molereach.coordination.replicated_log import records, voters
from molereach.coordination.replicated_log.messages import Voter
from tests.compatibility import council_families, council_samples, council_session
from tests.compatibility.council_families import FAMILIES, Family
from tests.compatibility.council_files import recorded_bytes, recorded_values

CASES = [
    pytest.param(family, name, id=f"{family.name}-{name}") for family in FAMILIES for name in family.samples
]


@pytest.mark.parametrize(("family", "name"), CASES)
def test_a_message_is_encoded_to_the_recorded_bytes(family: Family, name: str) -> None:
    assert family.encode(family.samples[name]) == recorded_values(family.file_name)[name]


@pytest.mark.parametrize(("family", "name"), CASES)
def test_a_recorded_message_is_decoded_to_the_same_value(family: Family, name: str) -> None:
    decoded = family.decode(recorded_values(family.file_name)[name])
    assert type(decoded) is type(family.samples[name])
    assert decoded == family.samples[name]


@pytest.mark.parametrize("family", FAMILIES, ids=lambda family: family.name)
def test_each_type_and_each_recorded_line_of_a_family_has_a_sample(family: Family) -> None:
    assert {type(sample) for sample in family.samples.values()} == set(family.types)
    assert list(recorded_values(family.file_name)) == list(family.samples)


def test_the_parts_have_the_recorded_numbers_on_a_link() -> None:
    assert council_families.part_numbers().encode() == recorded_bytes("council_link_parts.json")


def test_a_disk_is_recovered_from_its_recorded_base_and_records() -> None:
    base = recorded_values("council_log_bases.hex")["base"]
    recovered = records.recover(base, list(recorded_values("council_log_records.hex").values()))
    assert recovered.disk == council_samples.FIRST_DISK
    assert recovered.start_count == council_samples.first_run().start_count
    assert recovered.runs == {council_samples.SECOND_DISK: council_samples.second_run()}
    assert recovered.snapshot == council_samples.log_snapshot()
    assert recovered.entries == [council_samples.entry(13), council_samples.entry(14)]
    assert recovered.acceptor.promised == council_samples.ballot(7)
    assert recovered.acceptor.accepted_at == council_samples.ballot(6)
    assert recovered.acceptor.accepted == (council_samples.entry(15),)


def test_the_codec_of_snapshots_reads_the_recorded_one() -> None:
    data = recorded_values("council_log_snapshots.hex")["snapshot"]
    assert records.decode_snapshot(data) == council_samples.log_snapshot()
    assert records.encode(council_samples.log_snapshot()) == data


def test_the_recorded_changes_are_applied_to_a_panel() -> None:
    changes = recorded_values("council_panel_changes.hex")
    panel_of_three = tuple(Voter(name=f"door-{at}", disk=f"{at:032x}") for at in range(3))
    grown, outcome = voters.apply_change(panel_of_three, changes["grow"])
    assert outcome.error == "" and len(grown) == 5
    assert voters.apply_change(grown, changes["shrink"])[0] == panel_of_three
    replaced = council_samples.panel_changes()["replace"]
    assert isinstance(replaced, voters.ReplaceVoter)
    with_first = tuple(sorted((*panel_of_three[:2], replaced.removed)))
    with_second = tuple(sorted((*panel_of_three[:2], replaced.added)))
    assert voters.apply_change(with_first, changes["replace"])[0] == with_second


def test_the_first_panel_has_the_recorded_disks() -> None:
    seats = initial_voters(council_session.KEY, ("door-c", "door-a", "door-b"))
    assert {seat.name: bytes.fromhex(seat.disk) for seat in seats} == recorded_values(
        "council_first_panel.hex"
    )
