"""The section `[council]` of proxy processes: errors at startup, and a cluster of three that loses one."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from molereach import command
from molereach.fleet import wire
from tests.sockets import CUSTOMER, HOST, Backend, Client, catalog, entry, refusing_address, resp, run
from tests.test_program import ROOT, config

NAMES = ("n0", "n1", "n2")
REQUEST = resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")


def key_file(folder: Path, mode: int = 0o600) -> Path:
    file = folder / "council.key"
    file.write_bytes(b"k" * 32)
    file.chmod(mode)
    return file


def council_section(home: Path, addresses: dict[str, str], **changes: object) -> str:
    """The text of a section `[council]`; None in `changes` omits a key."""
    values: dict[str, object] = {
        "panel": list(NAMES),
        "key_file": str(key_file(home)),
        "beat_ms": 100,
        "session_ms": 1000,
        **changes,
    }
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items() if value is not None]
    address_lines = [f'{name} = "{address}"' for name, address in addresses.items()]
    return "\n".join(["[council]", *lines, "[council.doors]", *address_lines])


def free_addresses() -> dict[str, str]:
    """An unused address for each proxy."""
    return {name: f"{HOST}:{refusing_address()[1]}" for name in NAMES}


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"panel": ["n0", "n1"]}, "council.panel: 2 front doors"),
        ({"panel": ["n0", "n1", "n9"]}, "council.panel: 'n9' is not among the doors"),
        ({"panel": ["n0", "n1", "n1"]}, "council.panel: 'n1' stands there twice"),
        ({"session_ms": 300}, "council.session_ms: less than 4 beats"),
        ({"drift": 0.5}, "$.council.drift"),
        ({"beat_ms": "fast"}, "$.council.beat_ms"),
        ({"panel": None}, "`panel`"),
        ({"forming": True}, "forming: without a folder"),
        ({"key_file": "none/such"}, "council.key_file: none/such: No such file"),
        ({"tea": 1}, "unknown field `tea`"),
    ],
)
def test_an_invalid_setting_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], change: dict[str, object], reason: str
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(council_section(tmp_path, free_addresses(), **change))
    assert command.run(["config", "check", str(file)], {}, lambda level: 0) == 2
    line = capsys.readouterr().err
    assert line.startswith("molereach: ") and line.count("\n") == 1
    assert str(file) in line and reason in line


@pytest.mark.parametrize(
    ("addresses", "reason"),
    [
        ({"n0": "here", "n1": f"{HOST}:7", "n2": f"{HOST}:8"}, "doors.n0: 'here' is not HOST:PORT"),
        ({"n0": f"{HOST}:7", "n1": f"{HOST}:7", "n2": f"{HOST}:8"}, "council.doors: two have one address"),
    ],
)
def test_invalid_addresses_are_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], addresses: dict[str, str], reason: str
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(council_section(tmp_path, addresses))
    assert command.run(["config", "check", str(file)], {}, lambda level: 0) == 2
    assert reason in capsys.readouterr().err


def test_a_key_file_that_others_can_read_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(council_section(tmp_path, free_addresses()))
    key_file(tmp_path, 0o644)
    assert command.run(["config", "check", str(file)], {}, lambda level: 0) == 2
    assert "council.key_file" in capsys.readouterr().err


class ProxyProcess:
    """A proxy process: its log and its control socket."""

    def __init__(self, name: str, home: Path) -> None:
        self.name, self.home = name, home
        home.chmod(0o700)
        self.lines: list[str] = []

    async def start(self, number: int, backend: tuple[str, int], council: str) -> "ProxyProcess":
        self.listen = refusing_address()
        endpoints = json.loads(catalog(4, [entry("s1", backend)]))
        discovery = f"{HOST}:{refusing_address()[1]}"  # refuses connections: `known` is used
        proxy_config = config(
            name=self.name, listen=f"{HOST}:{self.listen[1]}", discovery=discovery, known=endpoints
        )
        config_file, operator_file = self.home / "config.json", self.home / "operator.toml"
        config_file.write_text(json.dumps(proxy_config))
        operator_file.write_text(f'[control]\nsocket = "{self.home}/c.sock"\n' + council)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "molereach",
            "--operator",
            str(operator_file),
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(config_file)},
            stderr=asyncio.subprocess.PIPE,
        )
        self.line_logged = asyncio.Event()
        self.reader_task = asyncio.create_task(self.read_log())
        return self

    async def read_log(self) -> None:
        assert self.process.stderr
        while line := await self.process.stderr.readline():
            self.lines.append(line.decode())
            self.line_logged.set()

    async def wait_for_log(self, text: str) -> None:
        """Wait until the log has a line with this text."""
        while not any(text in line for line in self.lines):
            self.line_logged.clear()
            await self.line_logged.wait()

    async def wait_for_session(self) -> None:
        """Wait until the proxy holds a session; on a busy machine it may lapse and be acquired again."""
        while not (await self.counters())["council_session"]:
            await asyncio.sleep(0.02)

    async def end(self) -> None:
        """Kill the process if it is running, and wait for its end."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reader_task

    async def counters(self) -> dict[str, int]:
        reader, writer = await asyncio.open_unix_connection(str(self.home / "c.sock"))
        writer.write(wire.frame(wire.Request(wire.VERSION, 1, "counters")))
        size = int.from_bytes(await reader.readexactly(wire.HEAD_BYTES))
        response = wire.decode_response(await reader.readexactly(size))
        writer.close()
        assert response.counters is not None
        return response.counters


def test_three_proxies_keep_serving_after_the_loss_of_one(tmp_path: Path) -> None:
    processes: dict[str, ProxyProcess] = {}

    async def scenario() -> None:
        try:
            await kill_the_leader(processes)
        finally:
            for proxy in processes.values():
                await proxy.end()

    async def kill_the_leader(processes: dict[str, ProxyProcess]) -> None:
        backend, addresses = await Backend().start(), free_addresses()
        for number, name in enumerate(NAMES):
            home = tmp_path / name
            (home / "folder").mkdir(parents=True, mode=0o700)
            council = council_section(tmp_path, addresses, folder=str(home / "folder"), forming=True)
            processes[name] = await ProxyProcess(name, home).start(number, backend, council)
        for proxy in processes.values():
            await proxy.wait_for_log("is held")
        while True:  # until each sees all, and there is one leader
            counters = {name: await proxy.counters() for name, proxy in processes.items()}
            leaders = [name for name, values in counters.items() if values["council_leads"]]
            if [values["council_alive"] for values in counters.values()] == [3, 3, 3] and len(leaders) == 1:
                break
            await asyncio.sleep(0.02)
        (leader,) = leaders
        others = [proxy for name, proxy in processes.items() if name != leader]
        processes[leader].process.kill()
        elections = [asyncio.create_task(proxy.wait_for_log("council: leads")) for proxy in others]
        await asyncio.wait(elections, return_when="FIRST_COMPLETED")
        for proxy in others:  # requests never wait for coordination
            client = await Client.open(proxy.listen)
            assert await client.ask(REQUEST) == b"ok"
            await proxy.wait_for_log(f"council: {leader} is dead")
            await proxy.wait_for_session()
        others[0].process.send_signal(signal.SIGTERM)
        await others[1].wait_for_log(f"council: {others[0].name} is left")
        assert await others[0].process.wait() == 0
        assert not any("Traceback" in line for proxy in processes.values() for line in proxy.lines)

    run(scenario())


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"folder": None, "forming": False}, "council.folder: 'n0' is on the panel and has none"),
        ({"folder": "/proc/none"}, "council.folder: "),
    ],
)
def test_a_failed_start_is_reported_in_one_line(
    tmp_path: Path, change: dict[str, object], reason: str
) -> None:
    async def scenario() -> None:
        (tmp_path / "folder").mkdir(mode=0o700)
        changes = {"folder": str(tmp_path / "folder"), "forming": True, **change}
        proxy = await ProxyProcess("n0", tmp_path).start(
            0, (HOST, 9), council_section(tmp_path, free_addresses(), **changes)
        )
        assert await proxy.process.wait() == 1
        await proxy.reader_task
        (line,) = [line for line in proxy.lines if line.startswith("molereach: ")]
        assert "cannot start" in line and reason in line
        assert not any("Traceback" in logged for logged in proxy.lines)

    run(scenario())
