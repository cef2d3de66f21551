"""Configuration files with a large saved endpoint list: read in steps, reloaded while the proxy serves."""

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
from molereach.proxy import config_file
from molereach.proxy.config import ConfigError
from molereach.proxy.config_file import load, load_in_steps, reload
from molereach.proxy.proxy import Proxy
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting
from tests.discovery.fakes import entries_json
from tests.races.scripted_peers import wait_until
from tests.sockets import (
    CUSTOMER,
    HEAD,
    HOST,
    Backend,
    Client,
    DiscoveryServer,
    chunk,
    entry,
    front_door,
    refusing_address,
    resp,
    run,
)
from tests.test_program import ROOT, SETTINGS, config

ENTRY_COUNT = 3000  # entries of about 500 KB
SETTINGS_WITH_LARGE_QUOTA = {**SETTINGS, "plans": [{"name": "team", "units-per-s": 100000}]}


def config_text(entries: bytes, known_first: bool = False, **changes: object) -> bytes:
    """The text of a configuration file, in which the saved list comes first or last."""
    other_values = json.dumps(config(known=None, **changes)).encode()
    known = b'{"reset":true,"instances":[%b],"generation":4}' % entries
    return (
        b'{"known":%b,%b' % (known, other_values[1:])
        if known_first
        else other_values[:-1] + b',"known":%b}' % known
    )


def write_config(path: Path, text: bytes) -> dict[str, str]:
    """Write a configuration file; return the environment that names it."""
    (path / "config.json").write_bytes(text)
    return {"PROXY_CONFIG": str(path / "config.json")}


@pytest.mark.parametrize("known_first", [True, False])
def test_large_file_has_the_values_of_a_small_one_and_its_saved_list_in_parts(
    tmp_path: Path, known_first: bool
) -> None:
    small = load(write_config(tmp_path, config_text(entries_json(3), known_first)))
    large = load(write_config(tmp_path, config_text(entries_json(ENTRY_COUNT), known_first)))
    assert large.known["generation"] == 4 and not small.known_entry_lists
    entries = [each for part in large.known_entry_lists for each in json.loads(part)] + large.known[
        "instances"
    ]
    assert entries == json.loads(b"[%b]" % entries_json(ENTRY_COUNT))
    assert max(map(len, large.known_entry_lists)) < 1 << 17
    assert [getattr(large, name) for name in ("settings", "listen", "peers", "sockets")] == [
        getattr(small, name) for name in ("settings", "listen", "peers", "sockets")
    ]


def test_large_file_is_read_in_small_steps_and_a_reload_keeps_no_entries(tmp_path: Path) -> None:
    env = write_config(tmp_path, text := config_text(entries_json(ENTRY_COUNT)))
    assert sum(1 for _ in load_in_steps(env)) == -(-len(text) // config_file.READ_CHUNK_BYTES)
    assert not reload(env).known_entry_lists


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (b'{"a":1}' + b" " * (1 << 18) + b"7", "cannot read the configuration: no object"),
        (b'{"a":1}' + b" " * (1 << 18) + b"{}", "cannot read the configuration: more than one object"),
        (b'{"a":1}' + b" " * (1 << 18) + b'{"a":', "cannot read the configuration: the file ends within"),
        (
            config_text(entries_json(ENTRY_COUNT))[:-9],
            "cannot read the configuration: the file ends within an object",
        ),
        (b" " * (1 << 19), "cannot read the configuration: no object"),
        (b"[" * (1 << 19), "cannot read the configuration: no object"),
        (
            config_text(entries_json(ENTRY_COUNT)).replace(b'"seed": ', b'"seed": x'),
            "cannot read the configuration: Expect",
        ),
        (
            config_text(entries_json(ENTRY_COUNT), seed="xyz"),
            "seed: is 'xyz', which is no hexadecimal number",
        ),
        (config_text(entries_json(ENTRY_COUNT), listen="nowhere"), "listen: 'nowhere' is not an address"),
    ],
)
def test_error_in_a_large_file_is_one_line(tmp_path: Path, text: bytes, reason: str) -> None:
    with pytest.raises(ConfigError) as caught:
        load(write_config(tmp_path, text))
    line = str(caught.value)
    assert line.startswith(f"{tmp_path / 'config.json'}: {reason}") and "\n" not in line and len(line) < 500


def test_saved_list_of_a_large_file_is_in_memory_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only its text is kept, and the start parses one part of it at a time into objects."""
    env = write_config(tmp_path, config_text(entries_json(ENTRY_COUNT)))
    parsed_sizes, loads = [0], json.loads
    monkeypatch.setattr(json, "loads", lambda text: parsed_sizes.append(len(text)) or loads(text))
    large = load(env)
    assert max(parsed_sizes) < 1 << 17 and sum(map(len, large.known_entry_lists)) < 600_000
    remaining_counts: list[int] = []
    read_entry_list = EndpointMapping.read_entry_list

    def recording_read_entry_list(self: object, text: bytes) -> object:
        remaining_counts.append(len(large.known_entry_lists))
        return read_entry_list(self, text)

    monkeypatch.setattr(
        "molereach.discovery.endpoint_mapping.EndpointMapping.read_entry_list", recording_read_entry_list
    )

    async def job() -> None:
        proxy = Proxy(large)
        try:
            assert (
                remaining_counts == list(range(len(remaining_counts)))[::-1]
                and not proxy.config.known_entry_lists
            )
            assert (
                proxy.endpoints.saved_list
                and proxy.endpoints.saved_list.event.kind is EndpointListKind.SAVED
                and proxy.discovery.version == 4
            )
            names = {endpoint.name for endpoint in proxy.endpoints.saved_list.event.endpoints}
            all_names = {f"s-{number:08x}" for number in range(ENTRY_COUNT)}
            assert names == all_names  # the subset of a single front door is the full list
            assert (
                isinstance(proxy.endpoints.endpoint_list, EndpointSubsetting)
                and proxy.endpoints.endpoint_list.count == ENTRY_COUNT
            )
        finally:
            proxy.close()

    run(job())


@pytest.mark.parametrize(
    "malformed",
    [
        b'{"instanceId": }',
        b'{"instanceId":"s9"} {"a":1}',
        b'{"instanceId":"s9", 7}',
    ],
)
def test_malformed_entry_in_the_saved_list_does_not_prevent_a_start(
    tmp_path: Path, malformed: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    entries = entries_json(ENTRY_COUNT) + b"," + malformed + b"," + entries_json(ENTRY_COUNT)
    large = load(write_config(tmp_path, config_text(entries)))

    async def job() -> None:
        proxy = Proxy(large)
        try:
            assert (
                proxy.endpoints.saved_list is None
                and proxy.discovery.version == 0
                and not proxy.backends.pools
            )
            assert not large.known_entry_lists
        finally:
            proxy.close()

    run(job())
    (line,) = [record.getMessage() for record in caplog.records]
    assert line.startswith("saved endpoint list is malformed") and len(line) < 300


def test_saved_list_over_the_memory_limit_is_rejected_with_a_log_line(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    large = load(
        write_config(
            tmp_path, config_text(entries_json(ENTRY_COUNT), limits={"sockets": 512, "memory_mb": 1})
        )
    )

    async def job() -> None:
        proxy = Proxy(large)
        assert proxy.endpoints.saved_list is None and not large.known_entry_lists
        proxy.close()

    run(job())
    assert "saved endpoint list is malformed" in caplog.text


# --- SIGHUP ---


def replace_config(path: Path, entry_count: int, discovery_port: int) -> None:
    """Replace the configuration file by one with another discovery address."""
    new_file = path / "new.json"
    new_file.write_bytes(config_text(entries_json(entry_count), discovery=f"{HOST}:{discovery_port}"))
    new_file.rename(path / "config.json")


def test_reload_of_a_large_file_yields_to_other_tasks_and_a_second_reload_replaces_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(os.environ, "PROXY_CONFIG", str(tmp_path / "config.json"))

    async def job() -> None:
        async with front_door() as (proxy, _):
            for entry_count in (ENTRY_COUNT, 1):  # a large file, and a small one that is read at once
                replace_config(tmp_path, ENTRY_COUNT, 11)
                reload_configuration(proxy)
                first_reload = proxy.config_reload
                assert first_reload and not first_reload.done()
                await asyncio.sleep(0)
                await asyncio.sleep(0)  # the reload has opened the file
                replace_config(tmp_path, entry_count, 12 if entry_count == 1 else 13)
                reload_configuration(proxy)
                turns = 0
                while proxy.config_reload and not proxy.config_reload.done():
                    await asyncio.sleep(0)
                    turns += 1
                assert turns > 10 if entry_count == ENTRY_COUNT else turns == 0
                await wait_until(first_reload.done)
                assert first_reload.cancelled()
                assert proxy.discovery.successor and proxy.discovery.successor.address[1] == (
                    12 if entry_count == 1 else 13
                )

    run(job())


def test_reload_of_an_invalid_large_file_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    env = write_config(tmp_path, config_text(entries_json(ENTRY_COUNT))[:-1])
    monkeypatch.setitem(os.environ, "PROXY_CONFIG", env["PROXY_CONFIG"])

    async def job() -> None:
        async with front_door() as (proxy, _):
            previous = proxy.config
            reload_configuration(proxy)
            assert proxy.config_reload
            await proxy.config_reload
            assert proxy.config is previous and proxy.discovery.successor is None

    run(job())
    assert "the configuration stays as it was" in caplog.text


# --- As a process ---


def test_process_answers_requests_while_it_reads_large_lists(tmp_path: Path) -> None:
    """In both lists all backends but one are draining, so that it is known which one answers."""

    async def job() -> None:
        backend = Backend()
        serving_entry = json.dumps(entry("s-own", await backend.start())).encode()
        draining_entries = entries_json(20_000).replace(b"SERVING", b"DRAINING")
        body = b'{"generation":9,"reset":true,"instances":[%b,%b]}\n' % (serving_entry, draining_entries)
        first_half_sent, send_second_half, list_sent = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def discovery(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(body[: len(body) // 2]))
            await writer.drain()
            first_half_sent.set()
            await send_second_half.wait()
            writer.write(chunk(body[len(body) // 2 :]))
            await writer.drain()
            list_sent.set()
            await asyncio.Event().wait()

        address = await DiscoveryServer(discovery).start()
        listen = refusing_address()
        text = config_text(
            serving_entry + b"," + draining_entries,
            listen=f"{HOST}:{listen[1]}",
            settings=SETTINGS_WITH_LARGE_QUOTA,
            limits={"sockets": 512, "memory_mb": 128},
            discovery=f"{HOST}:{address[1]}",
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "molereach",
            cwd=ROOT,
            env={**os.environ, **write_config(tmp_path, text)},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            assert process.stderr
            while b"serves at" not in (line := await process.stderr.readline()):
                assert line and b"malformed" not in line
            await first_half_sent.wait()
            client, served_count = await Client.open(listen), 0

            async def send_request() -> None:
                nonlocal served_count
                request = resp("SVC.QUERY", CUSTOMER, f"a{served_count}", "c=read,t=team,d=1500")
                assert await client.ask(request) == b"ok"
                served_count += 1

            await send_request()
            send_second_half.set()
            process.send_signal(signal.SIGHUP)
            while not list_sent.is_set() or served_count < 5:
                await send_request()
            while b"takes over the configuration" not in (line := await process.stderr.readline()):
                assert line and b"malformed" not in line
            await send_request()
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()

    run(job())
