"""`[council]` of real front doors: what is refused at the start, and three of them that lose one."""

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


def section(home: Path, doors: dict[str, str], **more: object) -> str:
    values: dict[str, object] = {
        "panel": list(NAMES),
        "key_file": str(key_file(home)),
        "beat_ms": 100,
        "session_ms": 1000,
        **more,
    }
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items() if value is not None]
    addresses = [f'{name} = "{address}"' for name, address in doors.items()]
    return "\n".join(["[council]", *lines, "[council.doors]", *addresses])


def three() -> dict[str, str]:
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
    file.write_text(section(tmp_path, three(), **change))
    assert command.run(["config", "check", str(file)], {}, lambda level: 0) == 2
    line = capsys.readouterr().err
    assert line.startswith("molereach: ") and line.count("\n") == 1
    assert str(file) in line and reason in line


@pytest.mark.parametrize(
    ("doors", "reason"),
    [
        ({"n0": "here", "n1": f"{HOST}:7", "n2": f"{HOST}:8"}, "doors.n0: 'here' is not HOST:PORT"),
        ({"n0": f"{HOST}:7", "n1": f"{HOST}:7", "n2": f"{HOST}:8"}, "council.doors: two have one address"),
    ],
)
def test_invalid_addresses_are_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], doors: dict[str, str], reason: str
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(section(tmp_path, doors))
    assert command.run(["config", "check", str(file)], {}, lambda level: 0) == 2
    assert reason in capsys.readouterr().err


def test_a_key_file_that_others_can_read_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(section(tmp_path, three()))
    key_file(tmp_path, 0o644)
    assert command.run(["config", "check", str(file)], {}, lambda level: 0) == 2
    assert "council.key_file" in capsys.readouterr().err


class Door:
    """A front door as a process, and a connection to its control."""

    def __init__(self, name: str, home: Path) -> None:
        self.name, self.home = name, home
        home.chmod(0o700)
        self.lines: list[str] = []

    async def start(self, number: int, backend: tuple[str, int], operator: str) -> "Door":
        self.listen = refusing_address()
        known = json.loads(catalog(4, [entry("s1", backend)]))
        silent = f"{HOST}:{refusing_address()[1]}"
        values = config(name=self.name, listen=f"{HOST}:{self.listen[1]}", discovery=silent, known=known)
        file, settings = self.home / "config.json", self.home / "operator.toml"
        file.write_text(json.dumps(values))
        settings.write_text(f'[control]\nsocket = "{self.home}/c.sock"\n' + operator)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "molereach",
            "--operator",
            str(settings),
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(file)},
            stderr=asyncio.subprocess.PIPE,
        )
        self.said = asyncio.Event()
        self.reading = asyncio.create_task(self.read())
        return self

    async def read(self) -> None:
        assert self.process.stderr
        while line := await self.process.stderr.readline():
            self.lines.append(line.decode())
            self.said.set()

    async def hears(self, text: str) -> None:
        """Wait until the log has a line with this text."""
        while not any(text in line for line in self.lines):
            self.said.clear()
            await self.said.wait()

    async def holds_a_session(self) -> None:
        """Wait until it does: on a busy machine one may lapse, and is held again."""
        while not (await self.counters())["council_session"]:
            await asyncio.sleep(0.02)

    async def end(self) -> None:
        """Gone, however the test went."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading

    async def counters(self) -> dict[str, int]:
        reader, writer = await asyncio.open_unix_connection(str(self.home / "c.sock"))
        writer.write(wire.frame(wire.Request(wire.VERSION, 1, "counters")))
        size = int.from_bytes(await reader.readexactly(wire.HEAD_BYTES))
        answer = wire.decode_response(await reader.readexactly(size))
        writer.close()
        assert answer.counters is not None
        return answer.counters


def test_three_proxies_serve_on_after_the_loss_of_one(tmp_path: Path) -> None:
    doors: dict[str, Door] = {}

    async def job() -> None:
        try:
            await lose_one(doors)
        finally:
            for door in doors.values():
                await door.end()

    async def lose_one(doors: dict[str, Door]) -> None:
        backend, addresses = await Backend().start(), three()
        for number, name in enumerate(NAMES):
            home = tmp_path / name
            (home / "folder").mkdir(parents=True, mode=0o700)
            text = section(tmp_path, addresses, folder=str(home / "folder"), forming=True)
            doors[name] = await Door(name, home).start(number, backend, text)
        for door in doors.values():
            await door.hears("is held")
        while True:  # all see all, and one leads
            counted = {name: await door.counters() for name, door in doors.items()}
            leaders = [name for name, found in counted.items() if found["council_leads"]]
            if [found["council_alive"] for found in counted.values()] == [3, 3, 3] and len(leaders) == 1:
                break
            await asyncio.sleep(0.02)
        (leader,) = leaders
        others = [door for name, door in doors.items() if name != leader]
        doors[leader].process.kill()
        led = [asyncio.create_task(door.hears("council: leads")) for door in others]
        await asyncio.wait(led, return_when="FIRST_COMPLETED")
        for door in others:  # requests never wait for the council
            client = await Client.open(door.listen)
            assert await client.ask(REQUEST) == b"ok"
            await door.hears(f"council: {leader} is dead")
            await door.holds_a_session()
        others[0].process.send_signal(signal.SIGTERM)
        await others[1].hears(f"council: {others[0].name} is left")
        assert await others[0].process.wait() == 0
        assert not any("Traceback" in line for door in doors.values() for line in door.lines)

    run(job())


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
    async def job() -> None:
        (tmp_path / "folder").mkdir(mode=0o700)
        more = {"folder": str(tmp_path / "folder"), "forming": True, **change}
        door = await Door("n0", tmp_path).start(0, (HOST, 9), section(tmp_path, three(), **more))
        assert await door.process.wait() == 1
        await door.reading
        (line,) = [line for line in door.lines if line.startswith("molereach: ")]
        assert "cannot start" in line and reason in line
        assert not any("Traceback" in each for each in door.lines)

    run(job())
