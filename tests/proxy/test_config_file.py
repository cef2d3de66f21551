"""A configuration that holds a long known list: read in pieces, and again while requests are served."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from molereach.__main__ import reload_configuration
from molereach.discovery.endpoint_mapping import EndpointMapping
from molereach.policy.interface.events import EndpointListKind
from molereach.proxy import config_file as reader
from molereach.proxy.config import ConfigError
from molereach.proxy.config_file import load, load_in_steps, reload
from molereach.proxy.proxy import Proxy
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting
from tests.discovery.fakes import entries_json
from tests.races.wire import until
from tests.sockets import (
    CUSTOMER,
    HEAD,
    HOST,
    Backend,
    Client,
    Watch,
    chunk,
    entry,
    front_door,
    refusing_address,
    resp,
    run,
)
from tests.test_program import ROOT, SETTINGS, config

COUNT = 3000  # entries: some 500 KB
WIDE = {**SETTINGS, "plans": [{"name": "team", "units-per-s": 100000}]}


def long_text(entries: bytes, first: bool = False, **changes: object) -> bytes:
    """The file, with its known list before or behind all else."""
    rest = json.dumps(config(known=None, **changes)).encode()
    known = b'{"reset":true,"instances":[%b],"generation":4}' % entries
    return b'{"known":%b,%b' % (known, rest[1:]) if first else rest[:-1] + b',"known":%b}' % known


def env_of(path: Path, text: bytes) -> dict[str, str]:
    (path / "config.json").write_bytes(text)
    return {"PROXY_CONFIG": str(path / "config.json")}


@pytest.mark.parametrize("first", [True, False])
def test_long_file_is_that_of_its_short_form_but_for_the_known_list_in_parts(
    tmp_path: Path, first: bool
) -> None:
    short = load(env_of(tmp_path, long_text(entries_json(3), first)))
    long = load(env_of(tmp_path, long_text(entries_json(COUNT), first)))
    assert long.known["generation"] == 4 and not short.known_entry_lists
    listed = [one for part in long.known_entry_lists for one in json.loads(part)] + long.known["instances"]
    assert listed == json.loads(b"[%b]" % entries_json(COUNT))
    assert max(map(len, long.known_entry_lists)) < 1 << 17
    assert [getattr(long, name) for name in ("settings", "listen", "peers", "sockets")] == [
        getattr(short, name) for name in ("settings", "listen", "peers", "sockets")
    ]


def test_long_file_is_read_in_short_steps_and_a_reload_holds_no_part(tmp_path: Path) -> None:
    env = env_of(tmp_path, text := long_text(entries_json(COUNT)))
    assert sum(1 for _ in load_in_steps(env)) == -(-len(text) // reader.READ_CHUNK_BYTES)
    assert not reload(env).known_entry_lists


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (b'{"a":1}' + b" " * (1 << 18) + b"7", "cannot read the configuration: no object"),
        (b'{"a":1}' + b" " * (1 << 18) + b"{}", "cannot read the configuration: more than one object"),
        (b'{"a":1}' + b" " * (1 << 18) + b'{"a":', "cannot read the configuration: the file ends within"),
        (
            long_text(entries_json(COUNT))[:-9],
            "cannot read the configuration: the file ends within an object",
        ),
        (b" " * (1 << 19), "cannot read the configuration: no object"),
        (b"[" * (1 << 19), "cannot read the configuration: no object"),
        (
            long_text(entries_json(COUNT)).replace(b'"seed": ', b'"seed": x'),
            "cannot read the configuration: Expect",
        ),
        (long_text(entries_json(COUNT), seed="xyz"), "seed: is 'xyz', which is no hexadecimal number"),
        (long_text(entries_json(COUNT), listen="nowhere"), "listen: 'nowhere' is not an address"),
    ],
)
def test_long_file_that_is_wrong_is_one_line(tmp_path: Path, text: bytes, said: str) -> None:
    with pytest.raises(ConfigError) as caught:
        load(env_of(tmp_path, text))
    line = str(caught.value)
    assert line.startswith(f"{tmp_path / 'config.json'}: {said}") and "\n" not in line and len(line) < 500


def test_long_file_is_held_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Of its known list only the text, and at the start no more than one part of it as objects."""
    env = env_of(tmp_path, long_text(entries_json(COUNT)))
    parsed, loads = [0], json.loads
    monkeypatch.setattr(json, "loads", lambda text: parsed.append(len(text)) or loads(text))
    found = load(env)
    assert max(parsed) < 1 << 17 and sum(map(len, found.known_entry_lists)) < 600_000
    left: list[int] = []
    part = EndpointMapping.read_entry_list

    def spied(self: object, text: bytes) -> object:
        left.append(len(found.known_entry_lists))
        return part(self, text)

    monkeypatch.setattr("molereach.discovery.endpoint_mapping.EndpointMapping.read_entry_list", spied)

    async def job() -> None:
        door = Proxy(found)
        try:
            assert left == list(range(len(left)))[::-1] and not door.config.known_entry_lists
            assert (
                door.endpoints.saved_list
                and door.endpoints.saved_list.event.kind is EndpointListKind.SAVED
                and door.discovery.version == 4
            )
            names = {server.name for server in door.endpoints.saved_list.event.endpoints}
            listed = {f"s-{number:08x}" for number in range(COUNT)}
            assert names == listed  # a front door alone sees all
            assert (
                isinstance(door.endpoints.endpoint_list, EndpointSubsetting)
                and door.endpoints.endpoint_list.count == COUNT
            )
        finally:
            door.close()

    run(job())


@pytest.mark.parametrize(
    "wrong",
    [
        b'{"instanceId": }',
        b'{"instanceId":"s9"} {"a":1}',
        b'{"instanceId":"s9", 7}',
    ],
)
def test_known_list_that_is_wrong_within_does_not_keep_it_from_a_start(
    tmp_path: Path, wrong: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    entries = entries_json(COUNT) + b"," + wrong + b"," + entries_json(COUNT)
    found = load(env_of(tmp_path, long_text(entries)))

    async def job() -> None:
        door = Proxy(found)
        try:
            assert (
                door.endpoints.saved_list is None and door.discovery.version == 0 and not door.backends.pools
            )
            assert not found.known_entry_lists
        finally:
            door.close()

    run(job())
    (line,) = [one.getMessage() for one in caplog.records]
    assert line.startswith("saved endpoint list is malformed") and len(line) < 300


def test_known_list_over_the_memory_bound_is_refused_with_a_line(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    found = load(env_of(tmp_path, long_text(entries_json(COUNT), limits={"sockets": 512, "memory_mb": 1})))

    async def job() -> None:
        door = Proxy(found)
        assert door.endpoints.saved_list is None and not found.known_entry_lists
        door.close()

    run(job())
    assert "saved endpoint list is malformed" in caplog.text


# --- SIGHUP ---


def moved(path: Path, count: int, port: int) -> None:
    """The file is replaced by one with another address of discovery."""
    new = path / "new.json"
    new.write_bytes(long_text(entries_json(count), discovery=f"{HOST}:{port}"))
    new.rename(path / "config.json")


def test_reload_of_a_long_file_leaves_turns_to_others_and_the_last_of_two_holds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(os.environ, "PROXY_CONFIG", str(tmp_path / "config.json"))

    async def job() -> None:
        async with front_door() as (door, _):
            for last in (COUNT, 1):  # a long file, and a short one that is read at once
                moved(tmp_path, COUNT, 11)
                reload_configuration(door)
                first = door.config_reload
                assert first and not first.done()
                await asyncio.sleep(0)
                await asyncio.sleep(0)  # it has opened the file
                moved(tmp_path, last, 12 if last == 1 else 13)
                reload_configuration(door)
                turns = 0
                while door.config_reload and not door.config_reload.done():
                    await asyncio.sleep(0)
                    turns += 1
                assert turns > 10 if last == COUNT else turns == 0
                await until(first.done)
                assert first.cancelled()
                assert door.discovery.successor and door.discovery.successor.address[1] == (
                    12 if last == 1 else 13
                )

    run(job())


def test_reload_of_a_long_file_that_is_wrong_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    env = env_of(tmp_path, long_text(entries_json(COUNT))[:-1])
    monkeypatch.setitem(os.environ, "PROXY_CONFIG", env["PROXY_CONFIG"])

    async def job() -> None:
        async with front_door() as (door, _):
            config = door.config
            reload_configuration(door)
            assert door.config_reload
            await door.config_reload
            assert door.config is config and door.discovery.successor is None

    run(job())
    assert "the configuration stays as it was" in caplog.text


# --- as a process ---


def test_process_with_long_lists_answers_while_it_reads(tmp_path: Path) -> None:
    """All but one backend of both lists drain, so that who answers is known."""

    async def job() -> None:
        backend = Backend()
        own = json.dumps(entry("s-own", await backend.start())).encode()
        others = entries_json(20_000).replace(b"SERVING", b"DRAINING")
        body = b'{"generation":9,"reset":true,"instances":[%b,%b]}\n' % (own, others)
        begun, at_end, done = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def discovery(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(body[: len(body) // 2]))
            await writer.drain()
            begun.set()
            await at_end.wait()
            writer.write(chunk(body[len(body) // 2 :]))
            await writer.drain()
            done.set()
            await asyncio.Event().wait()

        address = await Watch(discovery).start()
        listen = refusing_address()
        text = long_text(
            own + b"," + others,
            listen=f"{HOST}:{listen[1]}",
            settings=WIDE,
            limits={"sockets": 512, "memory_mb": 128},
            discovery=f"{HOST}:{address[1]}",
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "molereach",
            cwd=ROOT,
            env={**os.environ, **env_of(tmp_path, text)},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            assert process.stderr
            while b"serves at" not in (line := await process.stderr.readline()):
                assert line and b"no sense" not in line
            await begun.wait()
            client, served = await Client.open(listen), 0

            async def ask() -> None:
                nonlocal served
                request = resp("SVC.QUERY", CUSTOMER, f"a{served}", "c=read,t=team,d=1500")
                assert await client.ask(request) == b"ok"
                served += 1

            await ask()
            at_end.set()
            process.send_signal(signal.SIGHUP)
            while not done.is_set() or served < 5:
                await ask()
            while b"takes over the configuration" not in (line := await process.stderr.readline()):
                assert line and b"no sense" not in line
            await ask()
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()

    run(job())
