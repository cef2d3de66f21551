"""The agent and its HTTP API: HTTP versions, limits, tokens, TLS, journal failures, unresponsive proxies."""

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
from tests.fleet.agents import (
    OPERATE_TOKEN,
    READ_TOKEN,
    TOKENS_FILE_TEXT,
    api_client,
    new_agent,
    serve_agent,
    wait_until,
)
from tests.sockets import HOST, Backend, front_door, run

ORDER = Order("o1", Verb.DRAIN, "s0", "duty", "why", 0)
ORDER_STATE_RECORD = OrderStateRecord(1, (Decided(1, ORDER),), (Decided(1, ORDER),))
VALID_PREPARE = msgspec.json.encode(Prepare(1, Ballot(1, "t")))
CALLS: list[tuple[str, str, bytes | None, str]] = [
    *[
        ("GET", f"/v1/{path}", None, READ_TOKEN)
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
    ("POST", "/v1/status", b"", READ_TOKEN),
    ("POST", "/v1/agreement", VALID_PREPARE, READ_TOKEN),
    ("POST", "/v1/agreement", b"{", OPERATE_TOKEN),
    ("POST", "/v1/agreement", b"\xff", OPERATE_TOKEN),
    ("POST", "/v1/agreement", VALID_PREPARE[:-1] + b',"more":1}', OPERATE_TOKEN),
    ("POST", "/v1/agreement", msgspec.json.encode(Prepare(1, Ballot(0, "t"))), OPERATE_TOKEN),
    (
        "POST",
        "/v1/agreement",
        msgspec.json.encode(Accept(1, Ballot(1, "t"), Order("", Verb.HOLD, "", "", "", 0))),
        OPERATE_TOKEN,
    ),
    ("POST", "/v1/agreement", msgspec.json.encode(Known((Decided(0, ORDER),))), OPERATE_TOKEN),
    ("POST", "/v1/agreement", VALID_PREPARE, OPERATE_TOKEN),
    ("POST", "/v1/agreement", msgspec.json.encode(Known((Decided(1, ORDER),))), OPERATE_TOKEN),
    ("GET", "/v1/book", None, READ_TOKEN),
    ("GET", "/v1/book?after=1", None, READ_TOKEN),
    ("GET", "/v1/orders", None, READ_TOKEN),
]
STATUSES = [*[200] * 5, 204, 200, 200, 400, 400, 404, 401, 401, 405, 403, *[400] * 6, 200, 200, 200, 204, 200]


def decode_body(content: bytes) -> object:
    """Decode a response body as JSON if it is a JSON object or array, otherwise as text."""
    body: object = json.loads(content) if content[:1] in b"{[" and content else content.decode()
    return body


def test_http_versions_give_the_same_responses(tmp_path: Path) -> None:
    async def collect_responses(http2: bool) -> list[tuple[int, object]]:
        folder = tmp_path / str(http2)
        folder.mkdir()
        agent, responses = new_agent(folder), []
        async with serve_agent(agent) as url:
            for method, path, body, token in CALLS:
                async with api_client(url, token, http2) as session:
                    response = await session.request(method, path, content=body)
                    assert response.http_version == ("HTTP/2" if http2 else "HTTP/1.1")
                    responses.append((response.status_code, decode_body(response.content)))
        return responses

    async def scenario() -> None:
        http1_responses, http2_responses = await collect_responses(False), await collect_responses(True)
        assert http1_responses == http2_responses
        assert [status for status, _ in http1_responses] == STATUSES
        errors = [body for status, body in http1_responses if status in (400, 401, 403)]
        assert all(isinstance(body, dict) and set(body) == {"error"} for body in errors)
        assert http1_responses[-1][1]["in_force"][0]["order"]["id"] == "o1"  # type: ignore[index]

    run(scenario())


def test_published_description_matches_the_code(tmp_path: Path) -> None:
    text = Path(openapi.__file__).with_name("openapi.json").read_text()
    assert text == openapi.document_text()
    paths: dict[str, Any] = json.loads(text)["paths"]
    agent = new_agent(tmp_path)
    app_routes = Api(agent, Tokens(TOKENS_FILE_TEXT)).app().routes
    routes = {route.path: route.methods - {"HEAD"} for route in app_routes}  # type: ignore[attr-defined]
    assert {path: {method.upper() for method in calls} for path, calls in paths.items()} == routes

    async def scenario() -> None:
        types_by_schema_name = {
            openapi.published_schema_name(body_type.__name__): body_type
            for body_type in (*openapi.BODY_TYPES, *openapi.MESSAGE_TYPES)
        }
        async with serve_agent(agent) as url, api_client(url) as session:
            for path, calls in paths.items():
                if "get" not in calls or path.endswith(("watch", "openapi.json")):
                    continue
                response = await session.get(path.replace("{customer}", "0" * 16))
                schema = calls["get"]["responses"]["200"]["content"]["application/json"]["schema"]
                reference = schema.get("$ref") or schema["items"]["$ref"]
                body_type = types_by_schema_name[reference.rpartition("/")[2]]
                if response.status_code == 200:
                    expected_type: Any = body_type if "$ref" in schema else list[body_type]  # type: ignore[valid-type]
                    msgspec.json.decode(response.content, type=expected_type)

    run(scenario())


@pytest.mark.parametrize("http2", [False, True])
@pytest.mark.parametrize("length_declared", [False, True])
def test_body_of_100_mb_is_rejected_before_it_is_read(
    tmp_path: Path, http2: bool, length_declared: bool
) -> None:
    bytes_sent = 0

    async def body() -> AsyncIterator[bytes]:
        nonlocal bytes_sent
        for _ in range(1600):
            bytes_sent += 1 << 16
            yield b"x" * (1 << 16)

    async def scenario() -> None:
        async with serve_agent(new_agent(tmp_path)) as url, api_client(url, http2=http2) as session:
            headers = {"content-length": str(1600 << 16)} if length_declared else {}
            try:
                response = await session.post("/v1/agreement", content=body(), headers=headers)
                assert response.status_code == 413
            except httpx.HTTPError:
                pass  # the server closed the connection, which rejects the body as well
            assert bytes_sent < 32 << 20
            async with api_client(url) as other_session:
                assert (await other_session.get("/v1/status")).status_code == 200

    run(scenario())


def test_no_reply_is_sent_before_the_journal_is_on_the_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        agent = new_agent(tmp_path)
        async with serve_agent(agent) as url, api_client(url) as session:
            replies = await session.post("/v1/agreement", content=VALID_PREPARE)
            assert msgspec.json.decode(replies.content, type=list[Promise]) == [Promise(1, Ballot(1, "t"))]
            saved_state = agent.journal.load()
            assert Acceptor(saved_state.promised).handle(Prepare(1, Ballot(0, "t")))[0] != []

            def save_fails(state: object) -> None:
                raise JournalError("j: No space left on device")

            monkeypatch.setattr(agent.journal, "save", save_fails)
            accept = msgspec.json.encode(Accept(1, Ballot(1, "t"), ORDER))
            for _ in range(2):
                response = await session.post("/v1/agreement", content=accept)
                assert response.status_code == 503 and "No space left" in response.json()["error"]
            assert (await session.get("/v1/status")).json()["journal"].startswith("j: No space")
            assert agent.journal.load() == saved_state

    run(scenario())


def test_agent_restarts_with_its_stored_state(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with serve_agent(new_agent(tmp_path)) as url, api_client(url) as session:
            for message in (Prepare(1, Ballot(4, "t")), Accept(1, Ballot(4, "t"), ORDER)):
                await session.post("/v1/agreement", content=msgspec.json.encode(message))
        async with serve_agent(new_agent(tmp_path)) as url, api_client(url) as session:
            assert (await session.get("/v1/status")).json()["pending"]["id"] == "o1"
            promise_response = await session.post(
                "/v1/agreement", content=msgspec.json.encode(Prepare(1, Ballot(9, "u")))
            )
            assert msgspec.json.decode(promise_response.content, type=list[Promise])[0].accepted == ORDER
            message = msgspec.json.encode(Accept(1, Ballot(9, "u"), ORDER))
            replies = (await session.post("/v1/agreement", content=message)).content
            assert msgspec.json.decode(replies, type=list[Accepted]) == [Accepted(1, Ballot(9, "u"))]

    run(scenario())


def test_proxies_are_discovered_sent_orders_and_remembered(tmp_path: Path) -> None:
    """A restarted proxy gets the orders in force again; one that closes its socket regularly is "ended"."""

    async def scenario() -> None:
        agent = new_agent(tmp_path)
        async with front_door(Backend()) as (proxy, _), serve_agent(agent):
            first_control = Control(proxy, tmp_path / "sockets" / "n0.sock")
            await first_control.start()
            await wait_until(lambda: first_control.orders_received.is_set())
            await agent.handle_message(Known((Decided(1, ORDER),)))
            await wait_until(lambda: first_control.order_state.revision == 1)
            assert first_control.overlay.drained == {"s0"}
            await wait_until(lambda: agent.status().proxies[0].revision == 1)
            servers = (Endpoint("s0", 0, 0, 0, EndpointState.UP),)
            proxy.endpoints.on_update(
                EndpointUpdate(EndpointListReceived(EndpointListKind.FULL, 9, servers), {})
            )
            assert (await agent.snapshot()).ready == {"s0": "a"}
            assert (await agent.members()).proxies["n0"][0].drained
            first_control.close()  # leaving a socket file, as a killed process does
            (tmp_path / "sockets" / "n0.sock").touch()
            await wait_until(lambda: agent.status().proxies[0].reachability == "gone")
            status = agent.status().proxies[0]
            assert status.revision == 1 and status.reported_ago_ms is not None and status.reason
            (tmp_path / "sockets" / "n0.sock").unlink()
            second_control = Control(proxy, tmp_path / "sockets" / "n0.sock")
            await second_control.start()
            await wait_until(lambda: second_control.order_state.revision == 1)
            assert second_control.overlay.drained == {"s0"}
            second_control.close()
            await wait_until(lambda: agent.status().proxies[0].reachability == "ended")

    run(scenario())


def test_silent_proxy_and_one_under_a_wrong_name_are_reported(tmp_path: Path) -> None:
    async def scenario() -> None:
        agent = new_agent(tmp_path)
        writers: list[asyncio.StreamWriter] = []

        async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await reader.read()

        async with front_door(Backend()) as (proxy, _), serve_agent(agent):
            control = Control(proxy, tmp_path / "sockets" / "n9.sock")  # the proxy is called n0
            await control.start()
            silent_server = await asyncio.start_unix_server(
                never_respond, str(tmp_path / "sockets" / "n1.sock")
            )

            def reasons() -> dict[str, str]:
                return {status.name: status.reason for status in agent.status().proxies}

            await wait_until(lambda: "n0" in reasons().get("n9", ""))
            await wait_until(lambda: "says nothing" in reasons().get("n1", ""))
            members = await agent.members()
            assert "no answer within" in members.missing["n1"]
            await agent.handle_message(Known((Decided(1, ORDER),)))
            # The orders may have been sent before the wrong name was noticed.
            assert control.order_state.revision in (0, 1)
            control.close()
            # The reference is kept until here: the garbage collector closes a server without one.
            silent_server.close()
            for writer in writers:
                writer.close()

    run(scenario())


def test_agent_syncs_with_peers_before_it_sends_orders(tmp_path: Path) -> None:
    async def scenario() -> None:
        peer_states: dict[str, OrderStateRecord | OSError | None] = {
            "a1": OSError("cut off"),
            "a2": OSError("cut off"),
        }

        async def fetch_state(peer: str, after: int) -> OrderStateRecord | None:
            if isinstance(state := peer_states[peer], OSError):
                raise state
            return state if state and state.revision > after else None

        agent = new_agent(
            tmp_path, agent_names=("a0", "a1", "a2"), fetch_state=fetch_state, start_alone_s=30.0
        )
        async with front_door(Backend()) as (proxy, _), serve_agent(agent):
            control = Control(proxy, tmp_path / "sockets" / "n0.sock")
            await control.start()
            await wait_until(lambda: bool(agent.connections))
            assert not control.orders_received.is_set() and not agent.status().synced
            peer_states["a2"] = ORDER_STATE_RECORD  # now a majority answers
            await wait_until(lambda: control.orders_received.is_set())
            assert control.order_state.revision == 1 and agent.status().synced
            control.close()
        journal = Journal(tmp_path / "a0.journal", "a0")
        assert journal.load().order_state == ORDER_STATE_RECORD
        journal.close()

    run(scenario())


def test_agent_without_majority_becomes_ready_after_a_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        agent = new_agent(tmp_path, agent_names=("a0", "a1", "a2"))
        async with serve_agent(agent):
            await wait_until(lambda: agent.roster.ready)
            assert agent.started_without_majority and not agent.status().synced

    run(scenario())


def test_watcher_gets_events_and_is_told_how_many_it_missed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    slow_watcher = Watcher()
    for number in range(MAX_QUEUED_EVENTS + 7):
        slow_watcher.push(Event(number, 0, "a0", "door", "n0", "up"))
    assert slow_watcher.missed == 7 and slow_watcher.queue.qsize() == MAX_QUEUED_EVENTS
    monkeypatch.setattr(api, "MAX_WATCHERS", 1)

    async def scenario() -> None:
        agent = new_agent(tmp_path)
        async with serve_agent(agent) as url:
            async with api_client(url, READ_TOKEN) as session, session.stream("GET", "/v1/watch") as stream:
                lines = stream.aiter_lines()
                assert await anext(lines) == ""
                assert (await session.get("/v1/watch")).status_code == 503
                (watcher,) = agent.watchers
                watcher.missed = 3
                await agent.handle_message(Known((Decided(1, ORDER),)))
                events = [msgspec.json.decode(await anext(lines), type=Event) for _ in range(2)]
                assert [event.kind for event in events] == ["dropped", "order"]
                assert "3 events" in events[0].text and events[1].subject == "o1"
            await wait_until(lambda: not agent.watchers)

    run(scenario())


def test_call_rejected_before_its_body_arrived_does_not_end_the_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        agent = new_agent(tmp_path)
        async with (
            serve_agent(agent) as url,
            api_client(url, READ_TOKEN) as session,
            session.stream("GET", "/v1/watch") as stream,
        ):
            lines = stream.aiter_lines()
            assert await anext(lines) == ""
            response = await session.post("/v1/agreement", content=b"x" * 300_000)
            assert response.status_code == 403
            await agent.handle_message(Known((Decided(1, ORDER),)))
            assert msgspec.json.decode(await anext(lines), type=Event).subject == "o1"

    run(scenario())


def test_concurrent_calls_are_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api, "MAX_CONCURRENT_CALLS", 0)

    async def scenario() -> None:
        async with serve_agent(new_agent(tmp_path)) as url, api_client(url) as session:
            response = await session.get("/v1/status")
            assert response.status_code == 503 and response.headers["retry-after"] == "1"

    run(scenario())


def test_exception_in_a_handler_is_answered_with_an_internal_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        agent = new_agent(tmp_path)
        monkeypatch.setattr(agent, "status", lambda: 1 // 0)
        async with serve_agent(agent) as url, api_client(url) as session:
            response = await session.get("/v1/status")
            assert (response.status_code, response.json()) == (500, {"error": "internal error"})

    run(scenario())


def test_tls_accepts_only_clients_with_a_certificate_of_the_configured_ca(tmp_path: Path) -> None:
    configured_ca, other_ca = trustme.CA(), trustme.CA()
    server_certificate = configured_ca.issue_cert(HOST)
    server_certificate.private_key_and_cert_chain_pem.write_to_path(tmp_path / "server.pem")
    configured_ca.cert_pem.write_to_path(tmp_path / "ca.pem")
    tls = TlsTable("server.pem", "server.pem", "ca.pem")

    def tls_context(issuer: trustme.CA | None, trusted: trustme.CA = configured_ca) -> ssl.SSLContext:
        context = ssl.create_default_context()
        trusted.configure_trust(context)
        if issuer:
            issuer.issue_cert("tool@fleet").configure_cert(context)
        return context

    async def scenario() -> None:
        async with serve_agent(new_agent(tmp_path), tls, tmp_path) as url:
            async with httpx.AsyncClient(
                base_url=url, verify=tls_context(configured_ca), http2=True
            ) as session:
                headers = {"authorization": f"Bearer {READ_TOKEN}"}
                response = await session.get("/v1/status", headers=headers)
                assert (response.status_code, response.http_version) == (200, "HTTP/2")
                # A certificate does not replace a token.
                assert (await session.get("/v1/status")).status_code == 401
            for rejected_context in (
                tls_context(None),
                tls_context(other_ca),
                tls_context(configured_ca, other_ca),
            ):
                async with httpx.AsyncClient(base_url=url, verify=rejected_context) as session:
                    with pytest.raises(httpx.HTTPError):
                        await session.get("/v1/status", headers=headers)

    run(scenario())


def test_server_is_ready_only_if_every_proxy_that_lists_it_has_it_up() -> None:
    def member(name: str, listed: str) -> api_bodies.Member:
        return api_bodies.Member(name, "east", listed, True, 0)

    members_by_proxy = [(member("s1", "up"), member("s2", "up")), (member("s1", "draining"),), ()]
    assert api_bodies.ready_servers(members_by_proxy) == {"s2": "east"}
