"""The recorded files: reading them, and writing them once. No test writes."""

from collections.abc import Callable
from pathlib import Path

from tests.compatibility import (
    api_samples,
    campaign_samples,
    command_samples,
    control_samples,
    fleet_samples,
    gossip_samples,
    roster_samples,
    settings_samples,
)

FOLDER = Path(__file__).with_name("recorded")

# What makes the content of each recorded file.
FILES: dict[str, Callable[[], bytes]] = {
    **gossip_samples.FILES,
    **fleet_samples.FILES,
    **control_samples.FILES,
    **roster_samples.FILES,
    **api_samples.FILES,
    **campaign_samples.FILES,
    **command_samples.FILES,
    **settings_samples.FILES,
}


def recorded(name: str) -> bytes:
    """The content of a recorded file."""
    return (FOLDER / name).read_bytes()


def recorded_lines(name: str) -> list[str]:
    """The lines of a recorded text file."""
    return recorded(name).decode().splitlines()


def record() -> None:
    """Write all recorded files from what the program makes now."""
    FOLDER.mkdir(exist_ok=True)
    for name, make in FILES.items():
        (FOLDER / name).write_bytes(make())


if __name__ == "__main__":
    record()
