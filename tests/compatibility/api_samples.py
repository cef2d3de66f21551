"""The calls of an agent's API, and what a client must show and gets beside the body."""

import json
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import httpx
import msgspec
from starlette.applications import Starlette
from starlette.routing import Route

from molereach.fleet import agreement
from molereach.fleet.agent.api import Api
from molereach.fleet.agent.auth import Tokens
from molereach.fleet.journal import AgentState
from tests.compatibility import fleet_samples as samples
from tests.fleet.agents import OPERATE_TOKEN, READ_TOKEN, TOKENS_FILE_TEXT, new_agent
from tests.sockets import run

# Headers that say what a body is and what to do about a refusal; others are the HTTP server's.
HEADERS = ("content-type", "cache-control", "www-authenticate", "retry-after")


@dataclass(frozen=True)
class Call:
    """A call of the API with a client's token."""

    path: str
    token: str = READ_TOKEN
    body: bytes | None = None

    @property
    def method(self) -> str:
        return "GET" if self.body is None else "POST"


PREPARE = agreement.Prepare(revision=4, ballot=samples.HIGHER_BALLOT)
ACCEPT = agreement.Accept(revision=4, ballot=samples.HIGHER_BALLOT, order=samples.RELEASE)
CALLS = (
    Call("/v1/status"),
    Call("/v1/view"),
    Call("/v1/members"),
    Call("/v1/orders"),
    Call("/v1/quota/00000000b4d65521"),
    Call("/v1/quota/nobody"),
    Call("/v1/book?after=2"),
    Call("/v1/book?after=3"),
    Call("/v1/events?after=0"),
    Call("/v1/events?after=x"),
    Call("/v1/status", "no-token-that-is-known"),
    Call("/v1/agreement", READ_TOKEN, b"{}"),
    Call("/v1/agreement", OPERATE_TOKEN, b"{}"),
    Call("/v1/agreement", OPERATE_TOKEN, msgspec.json.encode(PREPARE)),
    Call("/v1/agreement", OPERATE_TOKEN, msgspec.json.encode(ACCEPT)),
)


@contextmanager
def application() -> Iterator[Starlette]:
    """The API of an agent that has had a journal with orders, and has no front doors."""
    with tempfile.TemporaryDirectory() as folder:
        agent = new_agent(Path(folder), name=samples.AGENT, agent_names=("a", "b", "c"))
        state: AgentState = samples.JOURNALS["accepted"]
        agent.acceptor.state = state.promised
        agent.acceptor.order_state.adopt(state.order_state)
        try:
            yield Api(agent, Tokens(TOKENS_FILE_TEXT)).app()
        finally:
            agent.journal.close()


def routes() -> bytes:
    """A line for each route: its path and its methods."""
    with application() as app:
        found = [[one.path, sorted(one.methods or ())] for one in app.routes if isinstance(one, Route)]
    return "".join(f"{json.dumps(route)}\n" for route in found).encode()


async def answered(client: httpx.AsyncClient, call: Call) -> str:
    """A call and its answer as one line."""
    headers = {"authorization": f"Bearer {call.token}"}
    found = await client.request(call.method, call.path, headers=headers, content=call.body)
    shown = {name: found.headers[name] for name in HEADERS if name in found.headers}
    return json.dumps([call.method, call.path, found.status_code, shown, found.text]) + "\n"


def answers() -> bytes:
    """A line for each call: its status, its headers and its body."""
    lines: list[str] = []

    async def job() -> None:
        with application() as app:
            transport = httpx.ASGITransport(app=app)
            async with httpx.AsyncClient(transport=transport, base_url="http://agent") as client:
                lines.extend([await answered(client, call) for call in CALLS])

    run(job())
    return "".join(lines).encode()


# The recorded files of this module, and what makes each.
FILES: dict[str, Callable[[], bytes]] = {
    "fleet-api-routes.json": routes,
    "fleet-api-answers.json": answers,
}
