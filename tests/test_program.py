"""The program as a process: its configuration, its handling of signals and its exit code."""

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
    """The values of a configuration file; a change to None removes a value."""
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
    """Write a configuration file; return the environment that names it."""
    file = path / "config.json"
    file.write_text(values if isinstance(values, str) else json.dumps(values))
    return {"PROXY_CONFIG": str(file)}


def test_configuration_has_the_values_of_file_and_environment(tmp_path: Path) -> None:
    loaded = load({**write(tmp_path, config()), "PROXY_LISTEN": f"{HOST}:6379", "PROXY_NAME": "n9"})
    assert (loaded.name, loaded.listen, loaded.discovery) == ("n9", (HOST, 6379), (HOST, 8))
    assert loaded.settings.seed == 0x8C1F30D27A5BE964 and loaded.settings.proxy_count == 2
    assert loaded.class_numbers == {"read": 0, "settle": 1} and loaded.zone_numbers == {"a": 0, "b": 1}
    assert (
        loaded.settings.classes[1].idempotency.value == "unsafe"
        and loaded.settings.plans[0].quota_rate == 9.0
    )
    assert loaded.settings.max_retry_after_us == 500_000 and loaded.sockets == 512
    assert loaded.conn_idle_us == 7_000_000 and loaded.connect_timeout_us == 250_000


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
def test_invalid_configuration_is_reported_in_one_line(tmp_path: Path, values: object) -> None:
    env = {key: text for key, text in os.environ.items() if not key.startswith("PROXY_")}
    env |= write(tmp_path, values) if values is not None else {}
    process = subprocess.run(
        [sys.executable, "-m", "molereach"],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert process.returncode == 2
    assert process.stderr.startswith("molereach: ") and process.stderr.count("\n") == 1


async def start(
    tmp_path: Path, backend: Backend, **env: str
) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start a front door without discovery, whose saved list has one backend; return it once it serves."""
    listen, discovery = refusing_address(), refusing_address()
    known = json.loads(catalog(4, [entry("s1", await backend.start())]))
    values = config(listen=f"{HOST}:{listen[1]}", discovery=f"{HOST}:{discovery[1]}", known=known)
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


def test_reload_uses_the_discovery_address_of_the_file(tmp_path: Path) -> None:
    """PROXY_DISCOVERY dates from the start of the process. An invalid file changes nothing."""

    async def job() -> None:
        process, address = await start(tmp_path, Backend(), PROXY_DISCOVERY=f"{HOST}:9")
        file = tmp_path / "config.json"
        valid_values = json.loads(file.read_text())
        file.write_text("{ not json")
        process.send_signal(signal.SIGHUP)
        while b"stays as it was" not in (line := await process.stderr.readline()):
            assert line
        backend = Backend(lambda words: value(b"new"))
        values = json.loads(catalog(1, [entry("s2", await backend.start())]))
        body = json.dumps(values).encode()

        async def send_list(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        async def send_no_changes(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD)
            watch_opened.set()
            await asyncio.Event().wait()

        watch_opened = asyncio.Event()
        discovery = await DiscoveryServer(send_list, send_no_changes).start()
        file.write_text(json.dumps({**valid_values, "discovery": f"{HOST}:{discovery[1]}"}))
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        await watch_opened.wait()
        client = await Client.open(address)
        request = resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
        assert await client.ask(request) == b"new"
        process.send_signal(signal.SIGTERM)
        while b"drains" not in await process.stderr.readline():
            pass
        process.send_signal(signal.SIGHUP)  # must not kill the draining process
        assert await process.wait() == 0

    run(job())


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
def test_termination_signal_drains_the_process_which_exits_with_0(tmp_path: Path, signal_number: int) -> None:
    async def job() -> None:
        backend = Backend()
        process, address = await start(tmp_path, backend)
        client = await Client.open(address)
        request = resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
        assert await client.ask(request) == b"ok"
        process.send_signal(signal_number)
        while b"drains" not in await process.stderr.readline():
            pass
        late_client = await Client.open(address)
        assert await late_client.ask(request.replace(b"a1", b"a2")) == b"ok"
        assert await client.ended()
        assert await process.wait() == 0

    run(job())


def test_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    async def job() -> None:
        address_in_use = await Backend().start()
        values = config(listen=f"{HOST}:{address_in_use[1]}")
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


def test_log_lines_from_one_place_are_limited() -> None:
    limiter = LogRateLimiter()

    def log_record(created_s: float, line_number: int = 7) -> logging.LogRecord:
        record = logging.LogRecord("x", logging.INFO, "x.py", line_number, "odd %s", ("one",), None)
        record.created = created_s
        return record

    are_written = [limiter.filter(log_record(100.0 + index / 100)) for index in range(500)]
    assert sum(are_written) == MAX_LINES_PER_WINDOW
    assert limiter.filter(log_record(100.0, line_number=8))  # each place has its own limit
    later_record = log_record(100.0 + RATE_LIMIT_WINDOW_S)
    assert limiter.filter(later_record)
    assert later_record.getMessage() == f"odd one ({500 - MAX_LINES_PER_WINDOW} like it were left out)"
