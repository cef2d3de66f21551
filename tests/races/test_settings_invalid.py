"""A configuration with an error is rejected with one line: file, key and reason."""

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

KeyPath = tuple[str | int, ...]
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
REQUIRED_KEYS = [
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
INVALID_BY_TYPE: dict[type, list[object]] = {  # by the type of the valid value; no key accepts any of these
    str: [7, 1.5, True, [], {}, ["a"], {"a": 1}],
    bool: [7, 0, "true", "", [], {"a": 1}],
    int: [-1, "7", "", True, float("nan"), float("inf"), 1e300, 10**400, [], [7], {}, {"a": 1}],
    float: [-1.0, "1.5", True, float("nan"), float("inf"), 1e300, [], [1.5], {"a": 1}],
    list: ["x", 7, True, {"a": 1}, [7], [None], [[]]],
    dict: ["x", 7, True, [], ["x"], [{}]],
}


def keys_with_values(value: object, key_path: KeyPath = ()) -> Iterator[tuple[KeyPath, object]]:
    """Yield the path of every key, with its valid value."""
    if key_path:
        yield key_path, value
    if isinstance(value, dict):
        for key, child in value.items():
            yield from keys_with_values(child, (*key_path, key))
    elif isinstance(value, list):
        for number, child in enumerate(value):
            yield from keys_with_values(child, (*key_path, number))


def dotted(key_path: KeyPath) -> str:
    return ".".join(map(str, key_path))


ALL_KEYS = [key_path for key_path, _ in keys_with_values(VALUES)]
UPPER_KEYS = [key_path for key_path in ALL_KEYS if len(key_path) < 3]


def with_change(key_path: KeyPath, value: object = None, remove: bool = False) -> dict[str, Any]:
    values = copy.deepcopy(VALUES)
    child: Any = values
    for key in key_path[:-1]:
        child = child[key]
    if remove:
        del child[key_path[-1]]
    else:
        child[key_path[-1]] = value
    return values


def error_for(tmp_path: Path, values: object) -> str:
    """Return the error for a configuration; the test fails if it is accepted or causes another exception."""
    file = tmp_path / "config.json"
    file.write_text(values if isinstance(values, str) else json.dumps(values))
    with pytest.raises(ConfigError) as error:
        load({"PROXY_CONFIG": str(file)})
    line = str(error.value)
    assert line.startswith(f"{file}: ") and "\n" not in line and len(line) < 300 + len(str(file))
    return line.removeprefix(f"{file}: ")


def test_unchanged_configuration_is_valid(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(VALUES))
    assert load({"PROXY_CONFIG": str(tmp_path / "config.json")}).settings.proxy_count == 3


@pytest.mark.parametrize("key_path", ALL_KEYS, ids=dotted)
def test_invalid_value_of_each_key_is_reported(tmp_path: Path, key_path: KeyPath) -> None:
    valid = dict(keys_with_values(VALUES))[key_path]
    for invalid in INVALID_BY_TYPE[type(valid)]:
        line = error_for(tmp_path, with_change(key_path, invalid))
        # For an entry without a valid name, or a misplaced list or object, the parent key is reported.
        assert line.startswith((dotted(key_path), dotted(key_path[:-1]) or "?"))


@pytest.mark.parametrize("key_path", REQUIRED_KEYS, ids=dotted)
def test_missing_key_is_reported(tmp_path: Path, key_path: KeyPath) -> None:
    for values in (with_change(key_path, remove=True), with_change(key_path)):
        assert error_for(tmp_path, values).startswith(dotted(key_path[:3]))


@pytest.mark.parametrize(
    ("key_path", "invalid"),
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
def test_value_out_of_range_is_reported(tmp_path: Path, key_path: KeyPath, invalid: object) -> None:
    key = dotted(key_path[:-1] if key_path[-1] == "name" else key_path)
    assert error_for(tmp_path, with_change(key_path, invalid)).startswith(key)


@pytest.mark.parametrize("text", ["", "null", "[]", "7", "{", "[" * 100_000, "\x00"])
def test_file_without_a_json_object_is_reported(tmp_path: Path, text: str) -> None:
    assert error_for(tmp_path, text)


def test_deeply_nested_settings_are_reported(tmp_path: Path) -> None:
    nested = '{"a":' * 500 + "1" + "}" * 500
    text = json.dumps(VALUES).replace('"me": 0', f'"me": 0, "more": {nested}')
    previous_limit = sys.getrecursionlimit()
    sys.setrecursionlimit(520)
    try:
        assert "recursion" in error_for(tmp_path, text) or "nested" in error_for(tmp_path, text)
    finally:
        sys.setrecursionlimit(previous_limit)


def test_environment_variable_without_an_address_is_reported(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(VALUES))
    with pytest.raises(ConfigError, match="PROXY_LISTEN: 'nowhere' is not an address"):
        load({"PROXY_CONFIG": str(tmp_path / "config.json"), "PROXY_LISTEN": "nowhere"})


@pytest.mark.parametrize("key_path", UPPER_KEYS, ids=dotted)
def test_reload_of_an_invalid_file_changes_nothing(
    tmp_path: Path, key_path: KeyPath, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The discovery address in the file is valid and differs; it must not be adopted."""

    async def job() -> None:
        async with front_door() as (proxy, _):
            config, discovery_address = proxy.config, proxy.discovery.current.address
            monkeypatch.setitem(os.environ, "PROXY_CONFIG", str(tmp_path / "config.json"))
            invalid = INVALID_BY_TYPE[type(dict(keys_with_values(VALUES))[key_path])][0]
            (tmp_path / "config.json").write_text(json.dumps(with_change(key_path, invalid)))
            reload_configuration(proxy)
            assert proxy.config is config and proxy.discovery.successor is None
            assert proxy.discovery.current.address == discovery_address

    run(job())
