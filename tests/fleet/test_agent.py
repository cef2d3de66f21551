"""The agent and its API: both protocols alike, bounds, tokens, TLS, broken journals, failing doors."""

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import httpx
import msgspec
import pytest
import trustme

from molereach.discovery.endpoint_mapping import EndpointUpdate
from molereach.fleet import api_bodies
from molereach.fleet.agent import api, openapi
from molereach.fleet.agent.api import Api
from molereach.fleet.agent.auth import Tokens
from molereach.fleet.agent.watcher import MAX_QUEUED_EVENTS, Watcher
from molereach.fleet.agreement import Accept, Accepted, Acceptor, Ballot, Known, Prepare, Promise
from molereach.fleet.api_bodies import Event
from molereach.fleet.control import Control
from molereach.fleet.journal import Journal, JournalError
from molereach.fleet.orders import Decided, Order, OrderStateRecord, Verb
from molereach.fleet.settings import TlsTable
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from tests.fleet.agents import OPERATE, READ, TOKENS, client, made, serving, until
from tests.sockets import HOST, Backend, front_door, run

ORDER = Order("o1", Verb.DRAIN, "s0", "duty", "why", 0)
RECORD = OrderStateRecord(1, (Decided(1, ORDER),), (Decided(1, ORDER),))
GOOD = msgspec.json.encode(Prepare(1, Ballot(1, "t")))
CALLS: list[tuple[str, str, bytes | None, str]] = [
    *[
        ("GET", f"/v1/{path}", None, READ)
        for path in (
            "status",
            "view",
            "members",
            "orders",
            "quota/00000000b4d65521",
            "book",
            "events?after=99",
            "openapi.json",
            "quota/xyz",
            "events?after=-1",
            "nothing",
        )
    ],
    ("GET", "/v1/status", None, "not-a-known-token"),
    ("GET", "/v1/status", None, ""),
    ("POST", "/v1/status", b"", READ),
    ("POST", "/v1/agreement", GOOD, READ),
    ("POST", "/v1/agreement", b"{", OPERATE),
    ("POST", "/v1/agreement", b"\xff", OPERATE),
    ("POST", "/v1/agreement", GOOD[:-1] + b',"more":1}', OPERATE),
    ("POST", "/v1/agreement", msgspec.json.encode(Prepare(1, Ballot(0, "t"))), OPERATE),
    (
        "POST",
        "/v1/agreement",
        msgspec.json.encode(Accept(1, Ballot(1, "t"), Order("", Verb.HOLD, "", "", "", 0))),
        OPERATE,
    ),
    ("POST", "/v1/agreement", msgspec.json.encode(Known((Decided(0, ORDER),))), OPERATE),
    ("POST", "/v1/agreement", GOOD, OPERATE),
    ("POST", "/v1/agreement", msgspec.json.encode(Known((Decided(1, ORDER),))), OPERATE),
    ("GET", "/v1/book", None, READ),
    ("GET", "/v1/book?after=1", None, READ),
    ("GET", "/v1/orders", None, READ),
]
EXPECTED = [*[200] * 5, 204, 200, 200, 400, 400, 404, 401, 401, 405, 403, *[400] * 6, 200, 200, 200, 204, 200]


def same(content: bytes) -> object:
    """An answer, read."""
    found: object = json.loads(content) if content[:1] in b"{[" and content else content.decode()
    return found


def test_both_protocols_give_the_same_answers(tmp_path: Path) -> None:
    async def ask(http2: bool) -> list[tuple[int, object]]:
        folder = tmp_path / str(http2)
        folder.mkdir()
        agent, answers = made(folder), []
        async with serving(agent) as url:
            for method, path, body, token in CALLS:
                async with client(url, token, http2) as session:
                    found = await session.request(method, path, content=body)
                    assert found.http_version == ("HTTP/2" if http2 else "HTTP/1.1")
                    answers.append((found.status_code, same(found.content)))
        return answers

    async def scenario() -> None:
        first, second = await ask(False), await ask(True)
        assert first == second
        assert [status for status, _ in first] == EXPECTED
        errors = [body for status, body in first if status in (400, 401, 403)]
        assert all(isinstance(body, dict) and set(body) == {"error"} for body in errors)
        assert first[-1][1]["in_force"][0]["order"]["id"] == "o1"  # type: ignore[index]

    run(scenario())


def test_description_matches_the_code(tmp_path: Path) -> None:
    text = Path(openapi.__file__).with_name("openapi.json").read_text()
    assert text == openapi.document_text()
    paths: dict[str, Any] = json.loads(text)["paths"]
    agent = made(tmp_path)
    found = Api(agent, Tokens(TOKENS)).app().routes
    routes = {route.path: route.methods - {"HEAD"} for route in found}  # type: ignore[attr-defined]
    assert {path: {method.upper() for method in calls} for path, calls in paths.items()} == routes

    async def scenario() -> None:
        kinds = {
            openapi.published_schema_name(kind.__name__): kind
            for kind in (*openapi.BODY_TYPES, *openapi.MESSAGE_TYPES)
        }
        async with serving(agent) as url, client(url) as session:
            for path, calls in paths.items():
                if "get" not in calls or path.endswith(("watch", "openapi.json")):
                    continue
                found = await session.get(path.replace("{customer}", "0" * 16))
                schema = calls["get"]["responses"]["200"]["content"]["application/json"]["schema"]
                named = schema.get("$ref") or schema["items"]["$ref"]
                kind = kinds[named.rpartition("/")[2]]
                if found.status_code == 200:
                    shape: Any = kind if "$ref" in schema else list[kind]  # type: ignore[valid-type]
                    msgspec.json.decode(found.content, type=shape)

    run(scenario())


@pytest.mark.parametrize("http2", [False, True])
@pytest.mark.parametrize("told", [False, True])
def test_body_of_100_mb_is_rejected_before_it_is_read(tmp_path: Path, http2: bool, told: bool) -> None:
    sent = 0

    async def body() -> AsyncIterator[bytes]:
        nonlocal sent
        for _ in range(1600):
            sent += 1 << 16
            yield b"x" * (1 << 16)

    async def scenario() -> None:
        async with serving(made(tmp_path)) as url, client(url, http2=http2) as session:
            headers = {"content-length": str(1600 << 16)} if told else {}
            try:
                found = await session.post("/v1/agreement", content=body(), headers=headers)
                assert found.status_code == 413
            except httpx.HTTPError:
                pass  # it closed the connection on us, which says the same
            assert sent < 32 << 20
            async with client(url) as another:
                assert (await another.get("/v1/status")).status_code == 200

    run(scenario())


def test_no_reply_is_sent_before_the_journal_is_on_the_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        agent = made(tmp_path)
        async with serving(agent) as url, client(url) as session:
            replies = await session.post("/v1/agreement", content=GOOD)
            assert msgspec.json.decode(replies.content, type=list[Promise]) == [Promise(1, Ballot(1, "t"))]
            state = agent.journal.load()
            assert Acceptor(state.promised).handle(Prepare(1, Ballot(0, "t")))[0] != []

            def fails(state: object) -> None:
                raise JournalError("j: No space left on device")

            monkeypatch.setattr(agent.journal, "save", fails)
            accept = msgspec.json.encode(Accept(1, Ballot(1, "t"), ORDER))
            for _ in range(2):
                answer = await session.post("/v1/agreement", content=accept)
                assert answer.status_code == 503 and "No space left" in answer.json()["error"]
            assert (await session.get("/v1/status")).json()["journal"].startswith("j: No space")
            assert agent.journal.load() == state

    run(scenario())


def test_agent_restarts_with_its_stored_state(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with serving(made(tmp_path)) as url, client(url) as session:
            for message in (Prepare(1, Ballot(4, "t")), Accept(1, Ballot(4, "t"), ORDER)):
                await session.post("/v1/agreement", content=msgspec.json.encode(message))
        async with serving(made(tmp_path)) as url, client(url) as session:
            assert (await session.get("/v1/status")).json()["pending"]["id"] == "o1"
            accepted = await session.post(
                "/v1/agreement", content=msgspec.json.encode(Prepare(1, Ballot(9, "u")))
            )
            assert msgspec.json.decode(accepted.content, type=list[Promise])[0].accepted == ORDER
            message = msgspec.json.encode(Accept(1, Ballot(9, "u"), ORDER))
            replies = (await session.post("/v1/agreement", content=message)).content
            assert msgspec.json.decode(replies, type=list[Accepted]) == [Accepted(1, Ballot(9, "u"))]

    run(scenario())


def test_proxies_are_discovered_sent_orders_and_remembered(tmp_path: Path) -> None:
    """A front door that starts anew has the orders before it is said to be up; one may end in order."""

    async def scenario() -> None:
        agent = made(tmp_path)
        async with front_door(Backend()) as (door, _), serving(agent):
            first = Control(door, tmp_path / "sockets" / "n0.sock")
            await first.start()
            await until(lambda: first.orders_received.is_set())
            await agent.handle_message(Known((Decided(1, ORDER),)))
            await until(lambda: first.order_state.revision == 1)
            assert first.overlay.drained == {"s0"}
            await until(lambda: agent.status().proxies[0].revision == 1)
            servers = (Endpoint("s0", 0, 0, 0, EndpointState.UP),)
            door.endpoints.on_update(
                EndpointUpdate(EndpointListReceived(EndpointListKind.FULL, 9, servers), {})
            )
            assert (await agent.snapshot()).ready == {"s0": "a"}
            assert (await agent.members()).proxies["n0"][0].drained
            first.close()  # as a kill, if its socket stays
            (tmp_path / "sockets" / "n0.sock").touch()
            await until(lambda: agent.status().proxies[0].reachability == "gone")
            status = agent.status().proxies[0]
            assert status.revision == 1 and status.reported_ago_ms is not None and status.reason
            (tmp_path / "sockets" / "n0.sock").unlink()
            second = Control(door, tmp_path / "sockets" / "n0.sock")
            await second.start()
            await until(lambda: second.order_state.revision == 1)
            assert second.overlay.drained == {"s0"}
            second.close()
            await until(lambda: agent.status().proxies[0].reachability == "ended")

    run(scenario())


def test_silent_proxy_and_one_with_another_name_are_reported(tmp_path: Path) -> None:
    async def scenario() -> None:
        agent = made(tmp_path)
        writers: list[asyncio.StreamWriter] = []

        async def say_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await reader.read()

        async with front_door(Backend()) as (door, _), serving(agent):
            control = Control(door, tmp_path / "sockets" / "n9.sock")  # its name is n0
            await control.start()
            stopped = await asyncio.start_unix_server(say_nothing, str(tmp_path / "sockets" / "n1.sock"))

            def reachability() -> dict[str, str]:
                return {one.name: one.reason for one in agent.status().proxies}

            await until(lambda: "n0" in reachability().get("n9", ""))
            await until(lambda: "says nothing" in reachability().get("n1", ""))
            members = await agent.members()
            assert "no answer within" in members.missing["n1"]
            await agent.handle_message(Known((Decided(1, ORDER),)))
            assert control.order_state.revision in (0, 1)  # it may have been told before it was known
            control.close()
            stopped.close()  # held until here: one that nobody holds is closed by a collection
            for writer in writers:
                writer.close()

    run(scenario())


def test_agent_syncs_with_peers_before_it_sends_orders(tmp_path: Path) -> None:
    async def scenario() -> None:
        answers: dict[str, OrderStateRecord | OSError | None] = {
            "a1": OSError("cut off"),
            "a2": OSError("cut off"),
        }

        async def fetch(peer: str, after: int) -> OrderStateRecord | None:
            if isinstance(found := answers[peer], OSError):
                raise found
            return found if found and found.revision > after else None

        agent = made(tmp_path, fleet=("a0", "a1", "a2"), fetch=fetch, alone_s=30.0)
        async with front_door(Backend()) as (door, _), serving(agent):
            control = Control(door, tmp_path / "sockets" / "n0.sock")
            await control.start()
            await until(lambda: bool(agent.connections))
            assert not control.orders_received.is_set() and not agent.status().synced
            answers["a2"] = RECORD  # now a majority is heard
            await until(lambda: control.orders_received.is_set())
            assert control.order_state.revision == 1 and agent.status().synced
            control.close()
        again = Journal(tmp_path / "a0.journal", "a0")
        assert again.load().order_state == RECORD
        again.close()

    run(scenario())


def test_agent_without_majority_goes_on_after_a_time_and_logs_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        agent = made(tmp_path, fleet=("a0", "a1", "a2"))
        async with serving(agent):
            await until(lambda: agent.roster.ready)
            assert agent.started_without_majority and not agent.status().synced

    run(scenario())


def test_watcher_gets_events_and_one_that_does_not_read_misses_some(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    slow = Watcher()
    for number in range(MAX_QUEUED_EVENTS + 7):
        slow.push(Event(number, 0, "a0", "door", "n0", "up"))
    assert slow.missed == 7 and slow.queue.qsize() == MAX_QUEUED_EVENTS
    monkeypatch.setattr(api, "MAX_WATCHERS", 1)

    async def scenario() -> None:
        agent = made(tmp_path)
        async with serving(agent) as url:
            async with client(url, READ) as session, session.stream("GET", "/v1/watch") as stream:
                lines = stream.aiter_lines()
                assert await anext(lines) == ""
                assert (await session.get("/v1/watch")).status_code == 503
                (watcher,) = agent.watchers
                watcher.missed = 3
                await agent.handle_message(Known((Decided(1, ORDER),)))
                events = [msgspec.json.decode(await anext(lines), type=Event) for _ in range(2)]
                assert [event.kind for event in events] == ["dropped", "order"]
                assert "3 events" in events[0].text and events[1].subject == "o1"
            await until(lambda: not agent.watchers)

    run(scenario())


def test_call_rejected_before_its_body_arrived_does_not_end_the_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        agent = made(tmp_path)
        async with (
            serving(agent) as url,
            client(url, READ) as session,
            session.stream("GET", "/v1/watch") as stream,
        ):
            lines = stream.aiter_lines()
            assert await anext(lines) == ""
            refused = await session.post("/v1/agreement", content=b"x" * 300_000)
            assert refused.status_code == 403
            await agent.handle_message(Known((Decided(1, ORDER),)))
            assert msgspec.json.decode(await anext(lines), type=Event).subject == "o1"

    run(scenario())


def test_concurrent_calls_are_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api, "MAX_CONCURRENT_CALLS", 0)

    async def scenario() -> None:
        async with serving(made(tmp_path)) as url, client(url) as session:
            found = await session.get("/v1/status")
            assert found.status_code == 503 and found.headers["retry-after"] == "1"

    run(scenario())


def test_fault_in_a_call_is_one_line_to_the_client(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        agent = made(tmp_path)
        monkeypatch.setattr(agent, "status", lambda: 1 // 0)
        async with serving(agent) as url, client(url) as session:
            found = await session.get("/v1/status")
            assert (found.status_code, found.json()) == (500, {"error": "internal error"})

    run(scenario())


def test_tls_accepts_only_clients_with_a_certificate_of_its_ca(tmp_path: Path) -> None:
    authority, stranger = trustme.CA(), trustme.CA()
    server = authority.issue_cert(HOST)
    server.private_key_and_cert_chain_pem.write_to_path(tmp_path / "server.pem")
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    tls = TlsTable("server.pem", "server.pem", "ca.pem")

    def context(issuer: trustme.CA | None, trusted: trustme.CA = authority) -> ssl.SSLContext:
        made_context = ssl.create_default_context()
        trusted.configure_trust(made_context)
        if issuer:
            issuer.issue_cert("tool@fleet").configure_cert(made_context)
        return made_context

    async def scenario() -> None:
        async with serving(made(tmp_path), tls, tmp_path) as url:
            async with httpx.AsyncClient(base_url=url, verify=context(authority), http2=True) as session:
                headers = {"authorization": f"Bearer {READ}"}
                found = await session.get("/v1/status", headers=headers)
                assert (found.status_code, found.http_version) == (200, "HTTP/2")
                assert (await session.get("/v1/status")).status_code == 401  # a certificate is no role
            for wrong in (context(None), context(stranger), context(authority, stranger)):
                async with httpx.AsyncClient(base_url=url, verify=wrong) as session:
                    with pytest.raises(httpx.HTTPError):
                        await session.get("/v1/status", headers=headers)

    run(scenario())


def test_ready_servers_are_up_wherever_they_are_listed() -> None:
    def member(name: str, listed: str) -> api_bodies.Member:
        return api_bodies.Member(name, "east", listed, True, 0)

    doors = [(member("s1", "up"), member("s2", "up")), (member("s1", "draining"),), ()]
    assert api_bodies.ready_servers(doors) == {"s2": "east"}
