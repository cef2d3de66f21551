"""What agents, front doors and tools of a fleet store and tell each other: values of every type.

A value whose fields have defaults is there twice: with all fields given, and with the defaults alone.
"""

from collections.abc import Callable, Mapping

import msgspec

from molereach.fleet import agreement, api_bodies, journal, orders, wire
from molereach.fleet.agent import api
from molereach.fleet.rollout import report
from molereach.policy.interface.protocols import CustomerLimits

AGENT, PEER = "a", "b"

# --- orders and books ---

DRAIN = orders.Order(
    id="o1",
    verb=orders.Verb.DRAIN,
    subject="s0",
    issuer="duty",
    reason='a "fan" \\ of rack 7\u00e9',
    based_on=0,
    lapses_ms=1_700_000_000_000,
    forced=True,
)
HOLD = orders.Order(id="o2", verb=orders.Verb.HOLD, subject="n0", issuer="duty", reason="kernel", based_on=1)
UNDRAIN = orders.Order(
    id="o3", verb=orders.Verb.UNDRAIN, subject="s0", issuer="duty", reason="fan is new", based_on=2
)
RELEASE = orders.Order(
    id="o4", verb=orders.Verb.RELEASE, subject="n0", issuer="duty", reason="done", based_on=3
)
ORDERS = (DRAIN, HOLD, UNDRAIN, RELEASE)
DECIDED = tuple(
    orders.Decided(revision=revision, order=order) for revision, order in enumerate(ORDERS, start=1)
)
FULL_BOOK = orders.OrderStateRecord(revision=3, in_force=DECIDED[1:2], recent=DECIDED[:3])
BOOKS = (orders.OrderStateRecord(), FULL_BOOK, orders.OrderStateRecord(revision=2, in_force=DECIDED[:2]))

# --- the agreement ---

BALLOT = agreement.Ballot(number=2, proposer="run-1")
HIGHER_BALLOT = agreement.Ballot(number=1 << 32, proposer="run-2")
MESSAGES: tuple[agreement.Message, ...] = (
    agreement.Prepare(revision=4, ballot=BALLOT),
    agreement.Promise(revision=4, ballot=BALLOT),
    agreement.Promise(revision=4, ballot=HIGHER_BALLOT, accepted_at=BALLOT, accepted=RELEASE),
    *(agreement.Accept(revision=4, ballot=BALLOT, order=order) for order in ORDERS),
    agreement.Accepted(revision=4, ballot=BALLOT),
    agreement.Outbid(revision=4, ballot=BALLOT, promised=HIGHER_BALLOT),
    agreement.Known(),
    agreement.Known(decided=DECIDED),
    agreement.Known(base=FULL_BOOK),
    agreement.Behind(next_revision=4),
)

# --- an agent's journal ---

JOURNALS = {
    "new": journal.AgentState(agent=AGENT),
    "promised": journal.AgentState(
        agent=AGENT, promised=agreement.AcceptorState(revision=1, promised=BALLOT), order_state=BOOKS[0]
    ),
    "accepted": journal.AgentState(
        agent=AGENT,
        promised=agreement.AcceptorState(
            revision=4, promised=HIGHER_BALLOT, accepted_at=BALLOT, accepted=RELEASE
        ),
        order_state=FULL_BOOK,
    ),
}

# --- frames between an agent and a front door ---

MEMBERS = (
    wire.Member(name="s0", building="east", listed="up", drained=True, in_flight=3),
    wire.Member(name="s1", building="west", listed="draining", drained=False, in_flight=0),
)
STATE = wire.ProxyState(
    name="n0",
    pid=4711,
    up_s=12.345,
    on_hold=True,
    revision=3,
    list_version=17,
    clients=5,
    open_requests=2,
)
HELD = CustomerLimits(
    plan=1,
    share=0.25,
    store=12.5,
    lent={1: 0.125, 2: 0.5},
    borrowed={0: 0.0625},
    oldest_s=1.5,
    taken=100.0,
    spent=42.02,
    apart=[2, 3],
)
STANDINGS = (
    wire.QuotaStatus(
        plan=0,
        tokens=10.5,
        local_tokens=0.5,
        ceiling_tokens=0.25,
        demand=3.0,
        reply_age_s=0.125,
        limits=HELD,
    ),
    wire.QuotaStatus(plan=1, tokens=-1.0, local_tokens=1.0, ceiling_tokens=1.0, demand=0.0, reply_age_s=None),
)
COUNTERS = {"asks": 9, "connections_refused": 0, "held_bytes": 1 << 20}

ASKS = (
    *(
        wire.Request(version=wire.VERSION, number=number, kind=what)
        for number, what in enumerate(("state", "members", "orders", "counters", "watch"), start=1)
    ),
    wire.Request(version=wire.VERSION, number=6, kind="quota", customer="00000000b4d65521"),
    *(
        wire.Request(version=wire.VERSION, number=number, kind="put", order_state=book)
        for number, book in enumerate(BOOKS, start=7)
    ),
)
ANSWERS = (
    wire.Response(version=wire.VERSION, number=1, state=STATE),
    wire.Response(version=wire.VERSION, number=2, members=MEMBERS),
    wire.Response(version=wire.VERSION, number=3, orders=DECIDED[:2], state=STATE),
    wire.Response(version=wire.VERSION, number=4, counters=COUNTERS),
    wire.Response(version=wire.VERSION, number=5, quota=STANDINGS),
    wire.Response(version=wire.VERSION, number=6, members=(), orders=(), quota=(), counters={}),
    wire.Response(version=wire.VERSION, number=7, error="internal error"),
    wire.Response(version=wire.VERSION, number=wire.NOTIFICATION_NUMBER, state=STATE),
)

# --- bodies of the agents' API ---

DOOR_VIEWS = (
    api_bodies.ProxyStatus(name="n0", reachability="up", reported_ago_ms=40, state=STATE),
    api_bodies.ProxyStatus(name="n1", reachability="new", reported_ago_ms=None),
    *(
        api_bodies.ProxyStatus(name=f"n{number}", reachability=reach, reported_ago_ms=5000, reason="no word")
        for number, reach in enumerate(("silent", "gone", "ended"), start=2)
    ),
)
STATUS = api_bodies.Status(
    agent=AGENT,
    fleet=("a", "b", "c"),
    revision=3,
    synced=True,
    journal="",
    pending=RELEASE,
    proxies=DOOR_VIEWS,
)
PEER_STATUS = api_bodies.Status(
    agent=PEER,
    fleet=("a", "b", "c"),
    revision=2,
    synced=False,
    journal="j: No space left on device",
    pending=None,
    proxies=(),
)
VIEW = api_bodies.AgentSnapshot(status=STATUS, order_state=FULL_BOOK, ready={"s0": "east", "s1": "west"})
MEMBERS_BODY = api_bodies.Members(agent=AGENT, proxies={"n0": MEMBERS, "n1": ()}, missing={"n2": "no answer"})
QUOTA_BODY = api_bodies.Quota(agent=AGENT, proxies={"n0": STANDINGS}, missing={"n2": "no answer"})
ORDERS_BODY = api_bodies.Orders(
    agent=AGENT, revision=3, in_force=FULL_BOOK.in_force, recent=FULL_BOOK.recent, pending=RELEASE
)
EVENTS = tuple(
    api_bodies.Event(
        number=number, at_ms=1_700_000_000_000 + number, agent=AGENT, kind=kind, subject="n0", text="up"
    )
    for number, kind in enumerate(("door", "order", "agent", "refusal", "dropped"), start=1)
)
BODIES: tuple[msgspec.Struct, ...] = (
    STATUS,
    PEER_STATUS,
    VIEW,
    MEMBERS_BODY,
    QUOTA_BODY,
    ORDERS_BODY,
    api_bodies.Problem(error="no token that is known here"),
    *BOOKS,
)

# --- what became of an order ---

REPORTS = (
    report.Report(
        verdict=report.Verdict.PARTIAL,
        order_id="o4",
        text="release n0 stands at revision 4",
        decided=DECIDED[3],
        winner=DECIDED[1],
        agents=(
            report.AgentReport(agent="a", notified=True),
            report.AgentReport(agent="c", notified=False, reason="no answer in time"),
        ),
        proxies=(
            report.ProxyReport(
                agent="a",
                proxy="n0",
                applied=True,
                reachability="up",
                revision=4,
                reported_ago_ms=12,
            ),
            report.ProxyReport(
                agent="c",
                proxy="n9",
                applied=False,
                reachability="unknown",
                revision=None,
                reported_ago_ms=None,
                reason="its agent does not answer",
            ),
        ),
    ),
    *(report.Report(verdict=verdict, order_id="o1", text="so it ended") for verdict in report.Verdict),
)


def json_lines(values: tuple[msgspec.Struct, ...]) -> bytes:
    """A text file with a value a line."""
    return b"".join(msgspec.json.encode(value) + b"\n" for value in values)


def frames(messages: tuple[wire.Request, ...] | tuple[wire.Response, ...]) -> bytes:
    """The messages as they go through a connection, one after the other."""
    return b"".join(map(wire.frame, messages))


def api_bodies() -> bytes:
    """The bodies that the API answers with, a line each."""
    return b"".join(bytes(api.json_response(body).body) + b"\n" for body in BODIES)


def journal_files() -> Mapping[str, Callable[[], bytes]]:
    """A journal's file for each state of an agent."""
    return {
        f"fleet-journal-{name}.bin": lambda state=state: journal.encode(state)
        for name, state in JOURNALS.items()
    }


# The recorded files of this module, and what makes each.
FILES: dict[str, Callable[[], bytes]] = {
    **journal_files(),
    "fleet-control-asks.bin": lambda: frames(ASKS),
    "fleet-control-answers.bin": lambda: frames(ANSWERS),
    "fleet-orders.json": lambda: json_lines(DECIDED),
    "fleet-books.json": lambda: json_lines(BOOKS),
    "fleet-agreement.json": lambda: json_lines(MESSAGES),
    "fleet-api-bodies.json": api_bodies,
    "fleet-api-replies.json": lambda: bytes(api.json_response(list(MESSAGES)).body),
    "fleet-api-events.json": lambda: b"".join(map(api.encode_line, EVENTS)),
    "fleet-reports.json": lambda: json_lines(REPORTS),
}
