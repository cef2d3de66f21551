"""Files that operators write, and what is read from them: values in the order of the fields, without names.

All keys that a file may have are there once with a value that no other key of its kind has, so that two that
are mistaken for each other are seen; and once only those that it must have.
"""

import json
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from itertools import count

import msgspec

from molereach import operator_config
from molereach.fleet import settings as fleet_settings
from molereach.protocol.load_reports import parse_load_report
from molereach.proxy import config

FLAG = re.compile(r"\b(?:true|false)\b")

LEAST_DOOR = """\
{
    "name": "n0", "listen": "127.0.0.1:7", "discovery": "127.0.0.1:8", "seed": "8c1f30d27a5be964",
    "settings": {
        "me": 0, "balancers": 1, "plans": [{"name": "team"}],
        "categories": [
            {"name": "read", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "read_like"}
        ]
    }
}
"""
WHOLE_DOOR = """\
{
    "name": "n1", "listen": "127.0.0.1:7", "discovery": "127.0.0.1:8", "peer_listen": "127.0.0.1:9",
    "peers": ["127.0.0.1:10", "127.0.0.1:11"], "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 512, "memory_mb": 65}, "known": {"generation": 4, "instances": []},
    "settings": {
        "me": 1, "balancers": 3, "zones": ["a", "b", "c"], "zone": 2, "kinds": ["m2", "m4"],
        "registry-mode": "subscribe",
        "plans": [
            {
                "name": "team", "units-per-s": 1.5, "burst": 2.5, "max-out": 3, "value-factor": 4.5,
                "extra-worth": 5.5, "overrun-cost": 6.5, "never-over-rate": 7.5, "hard-burst": 8.5,
                "hard-slack": 9.5
            },
            {"name": "solo", "units-per-s": 10}
        ],
        "categories": [
            {
                "name": "read", "on-time-us": 11, "deadline-us": 12, "points": 13.5, "late-worth": 14.5,
                "idempotency": "read_like", "group": "zone", "window-us": 15, "streamed": true
            },
            {
                "name": "pay", "on-time-us": 16, "deadline-us": 17, "idempotency": "idempotency_key",
                "group": "cell"
            },
            {
                "name": "settle", "on-time-us": 18, "deadline-us": 19, "idempotency": "non_idempotent",
                "group": "all"
            }
        ],
        "ceilings": {
            "max-attempts": 20, "retry-after": true, "max-retry-after-us": 21, "parallel-tries": true,
            "may-probe": false, "may-cancel": true, "peers": true, "conn-idle-us": 22,
            "connect-timeout-us": 23, "max-open": 24
        },
        "extra": {"counter": true, "trued-up": false, "mail-per-s": 25.5},
        "prices": {
            "cross-zone": 26.5, "waste": 27.5, "late-fail": 28.5, "peer": 29.5, "probe": 30.5,
            "handshake": 31.5
        },
        "obligations": {
            "grace-to-answer-us": 32, "ask-within-us": 33, "cold-from": 0.34, "warm-within-us": 35,
            "fall-multiple": 36.5, "fall-us": 37
        }
    }
}
"""
LEAST_FLEET = 'token = "t"\n[[agents]]\nname = "a"\nurl = "http://127.0.0.1:1"\n'
WHOLE_FLEET = """\
floor = 2
timeout-s = 2.5
agree-s = 5.5
confirm-s = 3.5
token = "token"
ca = "ca.pem"
cert = "tool.pem"
key = "tool.key"
[[agents]]
name = "a"
url = "https://a.example:1"
doors = ["n0", "n1"]
[[agents]]
name = "b"
url = "https://b.example:2"
"""
LEAST_AGENT = """\
name = "a"
fleet = "fleet.toml"
sockets = "/run/molereach"
journal = "/var/a.journal"
listen = "127.0.0.1:1"
tokens = "tokens"
"""
WHOLE_AGENT = f"""\
{LEAST_AGENT}start-alone-s = 4.5
[tls]
cert = "a.pem"
key = "a.key"
client-ca = "ca.pem"
"""
LEAST_OPERATOR = """\
[log]
[control]
socket = "/run/n0.sock"
[limits]
[council]
panel = ["n0", "n1", "n2"]
key_file = "council.key"
[council.doors]
n0 = "127.0.0.1:1"
"""
WHOLE_OPERATOR = """\
[log]
level = "warning"
[control]
socket = "/run/n0.sock"
wait_for_orders_s = 1.5
[limits]
lease_ms = 2001
drift = 0.002
beat_ms = 251
floor = 0.06
key_file = "limits.key"
[council]
panel = ["n0", "n1", "n2"]
key_file = "council.key"
folder = "/var/council"
forming = true
beat_ms = 501
session_ms = 5001
drift = 0.003
[council.doors]
n0 = "127.0.0.1:1"
n1 = "127.0.0.1:2"
"""

# What a backend may say of itself, by the names of both forms.
REPORTS: tuple[tuple[tuple[str, str], ...], ...] = (
    (
        ("busy_reqs", "1"),
        ("pending", "2"),
        ("cpu_share", "0.3"),
        ("svc_ms", "4"),
        ("served_ps", "5"),
        ("failed_ps", "6"),
    ),
    (
        ("inflight", "1"),
        ("queue", "2"),
        ("util", "0.3"),
        ("latency_ms", "4"),
        ("qps", "5"),
        ("eps", "6"),
    ),
    (("util", "2.5"), ("queue", "-"), ("unheard_of", "7")),
)


def values_of(value: object) -> object:
    """A value as plain lists, in the order of its fields; names of types and fields are not in them."""
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if is_dataclass(value):
        return [values_of(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, msgspec.Struct):
        return [values_of(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Mapping):
        return [[key, values_of(inner)] for key, inner in value.items()]
    if isinstance(value, list | tuple):
        return [values_of(inner) for inner in value]
    return value


def door(text: str) -> config.Config:
    """What a front door reads from its file; the environment tells it nothing."""
    return config.parse(json.loads(text), {})


def fleet(text: str) -> fleet_settings.FleetFile:
    """What tools and agents read from the fleet's file."""
    return msgspec.convert(tomllib.loads(text), fleet_settings.FleetFile)


def agent(text: str) -> fleet_settings.AgentFile:
    """What an agent reads from its own file."""
    return msgspec.convert(tomllib.loads(text), fleet_settings.AgentFile)


def with_one_flag(text: str, wanted: int) -> str:
    """The text with the flag of that number true and all others false."""
    numbers = count()
    return FLAG.sub(lambda _: "true" if next(numbers) == wanted else "false", text)


def door_flags() -> list[config.Config]:
    """What a front door reads for each of its flags alone."""
    flags = range(len(FLAG.findall(WHOLE_DOOR)))
    return [door(with_one_flag(WHOLE_DOOR, number)) for number in flags]


# Each file that is read, with its text.
READ: Mapping[str, Callable[[], object]] = {
    "door-least": lambda: door(LEAST_DOOR),
    "door-whole": lambda: door(WHOLE_DOOR),
    "door-flags": door_flags,
    "fleet-least": lambda: fleet(LEAST_FLEET),
    "fleet-whole": lambda: fleet(WHOLE_FLEET),
    "agent-least": lambda: agent(LEAST_AGENT),
    "agent-whole": lambda: agent(WHOLE_AGENT),
    "operator-least": lambda: operator_config.decode(LEAST_OPERATOR),
    "operator-whole": lambda: operator_config.decode(WHOLE_OPERATOR),
    "load-reports": lambda: [parse_load_report(report) for report in REPORTS],
}


# The recorded files of this module, and what makes each.
FILES: dict[str, Callable[[], bytes]] = {
    f"settings-{name}.json": lambda read=read: f"{json.dumps(values_of(read()))}\n".encode()
    for name, read in READ.items()
}
