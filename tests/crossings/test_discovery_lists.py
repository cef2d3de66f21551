"""What a list says, and what it cannot take back. The rows: docs/design/endings.md, "Discovery"."""

import math
from typing import Any

import pytest

from fennelwinch import interface as i
from molereach.door.catalog import Catalog
from tests.crossings.listing import AT
from tests.sockets import CONFIG, entry

UP, DRAINING, GONE = i.ServerState.UP, i.ServerState.DRAINING, i.ServerState.GONE


def read(*entries: object, reset: bool = False) -> tuple[dict[str, i.ServerState], dict[str, Any]]:
    news = Catalog(CONFIG).news({"generation": 1, "reset": reset, "instances": list(entries)})
    return {server.name: server.state for server in news.event.servers}, news.addresses


@pytest.mark.parametrize("odd", [
    {"hostPort": None}, {"hostPort": "nowhere"}, {"hostPort": "1.2.3.4:99999"}, {"cell": "x"},
    {"cell": math.inf}, {"weight": []}, {"startedAtMs": "soon"}, {"zone": {}}, {"machineType": 7},
])
def test_server_that_drains_is_heard_of_whatever_else_its_entry_says(odd: dict[str, object]) -> None:
    for state, known in (("DRAINING", DRAINING), ("DELETED", GONE), ("RESTING", DRAINING)):
        assert read({**entry("s1", AT), "lifecycle": state, **odd})[0] == {"s1": known}


@pytest.mark.parametrize("odd", [
    None, 7, "s1", [], {}, {"instanceId": None}, {"instanceId": ""}, {"instanceId": [1]},
    {"hostPort": "nowhere"},
])
def test_entry_that_makes_no_sense_is_passed_over_alone(odd: object) -> None:
    bad = {**entry("s1", AT), **odd} if isinstance(odd, dict) and odd else odd
    assert read(entry("s0", AT), bad, entry("s2", AT)) == ({"s0": UP, "s2": UP}, {"s0": AT, "s2": AT})
