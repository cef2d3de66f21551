"""A configuration that is wrong in one place is one line with file, key and reason, and never a start."""

import copy
import json
import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from molereach.__main__ import reload_configuration
from molereach.proxy.config import ConfigError
from molereach.proxy.config_file import load
from tests.sockets import HOST, front_door, run

Path_ = tuple[str | int, ...]
SETTINGS: dict[str, Any] = {
    "me": 0,
    "balancers": 3,
    "zone": 1,
    "zones": ["a", "b"],
    "kinds": ["m2"],
    "registry-mode": "automatic",
    "categories": [
        {"name": "read", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "read_like"},
        {
            "name": "book",
            "on-time-us": 750000,
            "deadline-us": 2000000,
            "idempotency": "idempotency_key",
            "group": "zone",
            "late-worth": 0.2,
            "points": 3.0,
            "streamed": False,
            "window-us": 5000000,
        },
    ],
    "plans": [
        {
            "name": "team",
            "units-per-s": 9.0,
            "burst": 4.0,
            "max-out": 2,
            "value-factor": 1.3,
            "extra-worth": 0.1,
            "overrun-cost": 0.5,
            "never-over-rate": 19.0,
            "hard-burst": 23.0,
            "hard-slack": 2.0,
        }
    ],
    "ceilings": {
        "max-attempts": 4,
        "conn-idle-us": 7000000,
        "connect-timeout-us": 250000,
        "max-open": 20000,
        "retry-after": True,
        "max-retry-after-us": 500000,
        "may-cancel": True,
        "may-probe": False,
        "parallel-tries": True,
        "peers": True,
    },
    "extra": {"mail-per-s": 60.0, "trued-up": False, "counter": False},
    "prices": {
        "cross-zone": 0.01,
        "waste": 0.05,
        "late-fail": 0.03,
        "peer": 0.02,
        "probe": 0.0,
        "handshake": 0.0,
    },
    "obligations": {
        "grace-to-answer-us": 16000,
        "ask-within-us": 10000000,
        "cold-from": 0.25,
        "fall-multiple": 2.5,
        "fall-us": 1000000,
        "warm-within-us": 17000000,
    },
}
VALUES: dict[str, Any] = {
    "name": "n0",
    "listen": f"{HOST}:7",
    "discovery": f"{HOST}:8",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 512, "memory_mb": 64},
    "peer_listen": f"{HOST}:9",
    "peers": [f"{HOST}:9", f"{HOST}:10"],
    "settings": SETTINGS,
}
REQUIRED = [
    ("name",),
    ("listen",),
    ("discovery",),
    ("seed",),
    ("settings",),
    ("settings", "balancers"),
    ("settings", "me"),
    ("settings", "categories"),
    ("settings", "categories", 0, "on-time-us"),
    ("settings", "categories", 1, "deadline-us"),
    ("settings", "categories", 1, "idempotency"),
    ("settings", "plans"),
    ("settings", "plans", 0, "name"),
]
WRONG: dict[type, list[object]] = {  # by the type of what is right: no key takes any of these
    str: [7, 1.5, True, [], {}, ["a"], {"a": 1}],
    bool: [7, 0, "true", "", [], {"a": 1}],
    int: [-1, "7", "", True, float("nan"), float("inf"), 1e300, 10**400, [], [7], {}, {"a": 1}],
    float: [-1.0, "1.5", True, float("nan"), float("inf"), 1e300, [], [1.5], {"a": 1}],
    list: ["x", 7, True, {"a": 1}, [7], [None], [[]]],
    dict: ["x", 7, True, [], ["x"], [{}]],
}


def places(value: object, at: Path_ = ()) -> Iterator[tuple[Path_, object]]:
    """Every key, with what is right there."""
    if at:
        yield at, value
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from places(inner, (*at, key))
    elif isinstance(value, list):
        for number, inner in enumerate(value):
            yield from places(inner, (*at, number))


def named(at: Path_) -> str:
    return ".".join(map(str, at))


ALL = [at for at, _ in places(VALUES)]
SOME = [at for at in ALL if len(at) < 3]


def changed(at: Path_, value: object = None, remove: bool = False) -> dict[str, Any]:
    values = copy.deepcopy(VALUES)
    inner: Any = values
    for key in at[:-1]:
        inner = inner[key]
    if remove:
        del inner[at[-1]]
    else:
        inner[at[-1]] = value
    return values


def line_for(tmp_path: Path, values: object) -> str:
    """What is said of a configuration; the test fails where it can be used, or brings another error."""
    file = tmp_path / "config.json"
    file.write_text(values if isinstance(values, str) else json.dumps(values))
    with pytest.raises(ConfigError) as caught:
        load({"PROXY_CONFIG": str(file)})
    line = str(caught.value)
    assert line.startswith(f"{file}: ") and "\n" not in line and len(line) < 300 + len(str(file))
    return line.removeprefix(f"{file}: ")


def test_the_configuration_itself_is_good(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(VALUES))
    assert load({"PROXY_CONFIG": str(tmp_path / "config.json")}).settings.proxy_count == 3


@pytest.mark.parametrize("at", ALL, ids=named)
def test_each_key_in_turn_with_what_is_no_value_for_it(tmp_path: Path, at: Path_) -> None:
    right = dict(places(VALUES))[at]
    for wrong in WRONG[type(right)]:
        line = line_for(tmp_path, changed(at, wrong))
        # An entry with no usable name is named itself, and so is a list or object in the wrong place.
        assert line.startswith((named(at), named(at[:-1]) or "?"))


@pytest.mark.parametrize("at", REQUIRED, ids=named)
def test_missing_key_is_named(tmp_path: Path, at: Path_) -> None:
    for values in (changed(at, remove=True), changed(at)):
        assert line_for(tmp_path, values).startswith(named(at[:3]))


@pytest.mark.parametrize(
    ("at", "wrong"),
    [
        (("settings", "me"), 3),
        (("settings", "zone"), 2),
        (("settings", "balancers"), 70_000),
        (("settings", "balancers"), 0),
        (("settings", "obligations", "cold-from"), 1.5),
        (("settings", "ceilings", "max-attempts"), 0),
        (("settings", "categories", 0, "on-time-us"), 0),
        (("settings", "categories", 1, "name"), "read"),
        (("settings", "zones", 1), "a"),
        (("settings", "categories", 0, "idempotency"), "sometimes"),
        (("settings", "categories", 1, "group"), "rack"),
        (("limits", "sockets"), 47),
        (("limits", "memory_mb"), 0),
        (("seed",), "0xg"),
        (("seed",), ""),
        (("listen",), "127.0.0.1"),
        (("discovery",), "127.0.0.1:70000"),
        (("peers", 1), "x:y"),
    ],
)
def test_value_out_of_its_range_is_named(tmp_path: Path, at: Path_, wrong: object) -> None:
    key = named(at[:-1] if at[-1] == "name" else at)
    assert line_for(tmp_path, changed(at, wrong)).startswith(key)


@pytest.mark.parametrize("text", ["", "null", "[]", "7", "{", "[" * 100_000, "\x00"])
def test_file_that_holds_no_object(tmp_path: Path, text: str) -> None:
    assert line_for(tmp_path, text)


def test_settings_nested_without_end(tmp_path: Path) -> None:
    nested = '{"a":' * 500 + "1" + "}" * 500
    text = json.dumps(VALUES).replace('"me": 0', f'"me": 0, "more": {nested}')
    was = sys.getrecursionlimit()
    sys.setrecursionlimit(520)
    try:
        assert "recursion" in line_for(tmp_path, text) or "nested" in line_for(tmp_path, text)
    finally:
        sys.setrecursionlimit(was)


def test_variable_that_holds_no_address_is_named(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(VALUES))
    with pytest.raises(ConfigError, match="PROXY_LISTEN: 'nowhere' is not an address"):
        load({"PROXY_CONFIG": str(tmp_path / "config.json"), "PROXY_LISTEN": "nowhere"})


@pytest.mark.parametrize("at", SOME, ids=named)
def test_reload_of_a_wrong_file_changes_nothing(
    tmp_path: Path, at: Path_, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The address of discovery in it is another one, and good; it must not be taken over all the same."""

    async def job() -> None:
        async with front_door() as (door, _):
            config, watched = door.config, door.discovery.current.address
            monkeypatch.setitem(os.environ, "PROXY_CONFIG", str(tmp_path / "config.json"))
            wrong = WRONG[type(dict(places(VALUES))[at])][0]
            (tmp_path / "config.json").write_text(json.dumps(changed(at, wrong)))
            reload_configuration(door)
            assert door.config is config and door.discovery.successor is None
            assert door.discovery.current.address == watched

    run(job())
