"""Writes the recorded files: `python -m tests.compatibility.council_recording`.

To be run once for each new kind of bytes. A file that is there already is left as it is: what an earlier
release stored or sent does not change with the program.
"""

import tempfile
from pathlib import Path

from molereach.coordination.node.initial_voters import initial_voters
from tests.compatibility import council_families, council_folder, council_session
from tests.compatibility.council_files import RECORDED, hex_text, write_once
from tests.compatibility.machines_recording import record_machines


def record_messages() -> None:
    """One file for each family of messages, and the parts' numbers on a link."""
    for family in council_families.FAMILIES:
        write_once(family.file_name, hex_text(family.encoded()).encode("ascii"))
    write_once("council_link_parts.json", council_families.part_numbers().encode("ascii"))


def record_folder() -> None:
    """One file for each step in which a folder is written."""
    with tempfile.TemporaryDirectory() as parent:
        for step, files in council_folder.folder_steps(Path(parent) / "council").items():
            write_once(council_folder.file_name(step), hex_text(files).encode("ascii"))


def record_first_panel() -> None:
    """The disks of a first panel, which follow from the key and the names."""
    seats = initial_voters(council_session.KEY, ("door-a", "door-b", "door-c"))
    disks = {seat.name: bytes.fromhex(seat.disk) for seat in seats}
    write_once("council_first_panel.hex", hex_text(disks).encode("ascii"))


def record_session() -> None:
    """The handshake and the frames of one link."""
    write_once(council_session.FILE_NAME, hex_text(council_session.session_values()).encode("ascii"))


def main() -> None:
    """Write all that is not there yet."""
    RECORDED.mkdir(parents=True, exist_ok=True)
    record_messages()
    record_folder()
    record_session()
    record_first_panel()
    record_machines()


if __name__ == "__main__":
    main()
