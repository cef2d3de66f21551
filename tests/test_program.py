"""The program as a process: what it is told, its signals, its exit code."""

import asyncio
import json
import logging
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from molereach.__main__ import MAX_LINES_PER_WINDOW, RATE_LIMIT_WINDOW_S, LogRateLimiter
from molereach.proxy.config_file import load
from tests.sockets import (
    CUSTOMER,
    HEAD,
    HOST,
    Backend,
    Client,
    DiscoveryServer,
    catalog,
    entry,
    refusing_address,
    resp,
    run,
    value,
)

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "me": 0,
    "balancers": 2,
    "zones": ["a", "b"],
    "kinds": ["m2"],
    "plans": [{"name": "team", "units-per-s": 9}],
    "categories": [
        {"name": "read", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "read_like"},
        {"name": "settle", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "non_idempotent"},
    ],
    "ceilings": {
        "max-attempts": 4,
        "conn-idle-us": 7000000,
        "retry-after": True,
        "max-retry-after-us": 500000,
    },
    "stats": {"how": "inline", "names": ["util", "latency_ms"]},
}


def config(**changes: object) -> dict[str, object]:
    known = json.loads(catalog(4, []))
    values = {
        "name": "n0",
        "listen": f"{HOST}:7",
        "discovery": f"{HOST}:8",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 512},
        "known": known,
        "settings": SETTINGS,
    }
    return {key: value for key, value in {**values, **changes}.items() if value is not None}


def write(path: Path, values: object) -> dict[str, str]:
    file = path / "config.json"
    file.write_text(values if isinstance(values, str) else json.dumps(values))
    return {"PROXY_CONFIG": str(file)}


def test_configuration_is_read(tmp_path: Path) -> None:
    found = load({**write(tmp_path, config()), "PROXY_LISTEN": f"{HOST}:6379", "PROXY_NAME": "n9"})
    assert (found.name, found.listen, found.discovery) == ("n9", (HOST, 6379), (HOST, 8))
    assert found.settings.seed == 0x8C1F30D27A5BE964 and found.settings.proxy_count == 2
    assert found.class_numbers == {"read": 0, "settle": 1} and found.zone_numbers == {"a": 0, "b": 1}
    assert (
        found.settings.classes[1].idempotency.value == "unsafe" and found.settings.plans[0].quota_rate == 9.0
    )
    assert found.settings.max_retry_after_us == 500_000 and found.sockets == 512
    assert found.conn_idle_us == 7_000_000 and found.connect_timeout_us == 250_000


@pytest.mark.parametrize(
    "values",
    [
        "{",
        "[]",
        {},
        config(settings={}),
        config(seed="xyz"),
        config(listen="nowhere"),
        config(discovery=None),
        config(settings={**SETTINGS, "me": 2}),
        config(settings={**SETTINGS, "plans": []}),
        config(settings={**SETTINGS, "categories": [{"name": "read", "idempotency": "what"}]}),
        config(peers=["x:y"]),
        None,
    ],
)
def test_unusable_configuration_is_one_plain_line(tmp_path: Path, values: object) -> None:
    env = {key: text for key, text in os.environ.items() if not key.startswith("PROXY_")}
    env |= write(tmp_path, values) if values is not None else {}
    done = subprocess.run(
        [sys.executable, "-m", "molereach"],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("molereach: ") and done.stderr.count("\n") == 1


async def start(
    tmp_path: Path, backend: Backend, **env: str
) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    listen, silent = refusing_address(), refusing_address()
    known = json.loads(catalog(4, [entry("s1", await backend.start())]))
    values = config(listen=f"{HOST}:{listen[1]}", discovery=f"{HOST}:{silent[1]}", known=known)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "molereach",
        cwd=ROOT,
        env={**os.environ, **write(tmp_path, values), **env},
        stderr=asyncio.subprocess.PIPE,
    )
    while b"serves at" not in await process.stderr.readline():
        pass
    return process, listen


def test_reload_takes_the_address_of_discovery_from_the_file(tmp_path: Path) -> None:
    """PROXY_DISCOVERY is as old as the process, and a file that cannot be used changes nothing."""

    async def job() -> None:
        process, address = await start(tmp_path, Backend(), PROXY_DISCOVERY=f"{HOST}:9")
        file = tmp_path / "config.json"
        good = json.loads(file.read_text())
        file.write_text("{ not json")
        process.send_signal(signal.SIGHUP)
        while b"stays as it was" not in (line := await process.stderr.readline()):
            assert line
        backend = Backend(lambda words: value(b"new"))
        listed = json.loads(catalog(1, [entry("s2", await backend.start())]))
        body = json.dumps(listed).encode()

        async def whole(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        async def silent(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD)
            watched.set()
            await asyncio.Event().wait()

        watched = asyncio.Event()
        discovery = await DiscoveryServer(whole, silent).start()
        file.write_text(json.dumps({**good, "discovery": f"{HOST}:{discovery[1]}"}))
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        await watched.wait()
        client = await Client.open(address)
        request = resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
        assert await client.ask(request) == b"new"
        process.send_signal(signal.SIGTERM)
        while b"drains" not in await process.stderr.readline():
            pass
        process.send_signal(signal.SIGHUP)  # also while it drains
        assert await process.wait() == 0

    run(job())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_drains_and_ends_with_0(tmp_path: Path, number: int) -> None:
    async def job() -> None:
        backend = Backend()
        process, address = await start(tmp_path, backend)
        client = await Client.open(address)
        request = resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
        assert await client.ask(request) == b"ok"
        process.send_signal(number)
        while b"drains" not in await process.stderr.readline():
            pass
        late = await Client.open(address)
        assert await late.ask(request.replace(b"a1", b"a2")) == b"ok"
        assert await client.ended()
        assert await process.wait() == 0

    run(job())


def test_address_in_use_is_one_plain_line(tmp_path: Path) -> None:
    async def job() -> None:
        taken = await Backend().start()
        values = config(listen=f"{HOST}:{taken[1]}")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "molereach",
            cwd=ROOT,
            env={**os.environ, **write(tmp_path, values)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode == 1
        assert b"molereach: cannot start: " in errors and b"Traceback" not in errors

    run(job())


def test_lines_that_peers_cause_are_bounded() -> None:
    limit = LogRateLimiter()

    def line(at_s: float, number: int = 7) -> logging.LogRecord:
        record = logging.LogRecord("x", logging.INFO, "x.py", number, "odd %s", ("one",), None)
        record.created = at_s
        return record

    passed = [limit.filter(line(100.0 + at / 100)) for at in range(500)]
    assert sum(passed) == MAX_LINES_PER_WINDOW
    assert limit.filter(line(100.0, number=8))  # another place has lines of its own
    later = line(100.0 + RATE_LIMIT_WINDOW_S)
    assert limit.filter(later)
    assert later.getMessage() == f"odd one ({500 - MAX_LINES_PER_WINDOW} like it were left out)"
