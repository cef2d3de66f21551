"""Where recorded bytes are kept, and the form of a file that holds several named ones."""

from collections.abc import Mapping
from pathlib import Path

RECORDED = Path(__file__).parent / "recorded" / "council"


def hex_text(values: Mapping[str, bytes]) -> str:
    """One line for each value: its name and its bytes in hexadecimal."""
    return "".join(f"{name} {value.hex()}".rstrip() + "\n" for name, value in values.items())


def recorded_values(file_name: str) -> dict[str, bytes]:
    """The named values of a `.hex` file, in the order of its lines."""
    lines = (RECORDED / file_name).read_text(encoding="ascii").splitlines()
    parts = [line.partition(" ") for line in lines]
    return {name: bytes.fromhex(value) for name, _, value in parts}


def recorded_bytes(file_name: str) -> bytes:
    """The whole of a recorded file."""
    return (RECORDED / file_name).read_bytes()


def write_once(file_name: str, data: bytes) -> None:
    """Write a file that is not there yet; only the recording calls this."""
    path = RECORDED / file_name
    if path.exists():
        print(f"kept    {file_name}")
        return
    path.write_bytes(data)
    print(f"written {file_name}")
