"""Files that a page starts from and that the platform, not the page, writes; with ports that are free now."""

import json
import socket
from collections.abc import Callable
from pathlib import Path

from rig.sockets import own_host, reserve

SETTINGS = {
    "me": 0,
    "balancers": 1,
    "zones": ["a"],
    "kinds": ["m2"],
    "plans": [{"name": "team", "units-per-s": 9}],
    "categories": [
        {"name": "read", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "read_like"}
    ],
}


def config_json(folder: Path) -> list[socket.socket]:
    """A front door's configuration; discovery is an address that refuses."""
    sockets, (listen, discovery) = zip(*(reserve(own_host()) for _ in range(2)), strict=True)
    values = {
        "name": "n0",
        "listen": "{}:{}".format(*listen),
        "discovery": "{}:{}".format(*discovery),
        "seed": "8c1f30d27a5be964",
        "settings": SETTINGS,
    }
    (folder / "config.json").write_text(json.dumps(values))
    return list(sockets)


# Makes the file in a folder; what it returns holds its ports until the page has ended.
GIVEN: dict[str, Callable[[Path], list[socket.socket]]] = {"config.json": config_json}
