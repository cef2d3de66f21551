"""Writes the recorded files: `python -m tests.compatibility.council_recording`.

To be run once for each new kind of bytes. A file that is there already is left as it is: what an earlier
release stored or sent does not change with the program.
"""

from tests.compatibility import council_families
from tests.compatibility.council_files import RECORDED, hex_text


def write_once(file_name: str, data: bytes) -> None:
    """Write a file that is not there yet."""
    path = RECORDED / file_name
    if path.exists():
        print(f"kept    {file_name}")
        return
    path.write_bytes(data)
    print(f"written {file_name}")


def record_messages() -> None:
    """One file for each family of messages, and the parts' numbers on a link."""
    for family in council_families.FAMILIES:
        write_once(family.file_name, hex_text(family.encoded()).encode("ascii"))
    write_once("council_link_parts.json", council_families.part_numbers().encode("ascii"))


def main() -> None:
    """Write all that is not there yet."""
    RECORDED.mkdir(exist_ok=True)
    record_messages()


if __name__ == "__main__":
    main()
