"""The interface of the decision module: what a gateway is told and what it may do.

All times are whole microseconds. Settings are given once, at start. Each event is handed to
`rules.Gateway.handle(now_us, event)`, which answers with the actions to carry out, in order.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Effect(Enum):
    """Whether a class of requests may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    SPOILT = "spoilt"  # an answer that cannot be read: it ran
    CANCELLED = "cancelled"
    MOOT = "moot"


class ServerState(Enum):
    """What the server list says of a server."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a piece of news from the server list holds."""

    FULL = "full"
    SAVED = "saved"
    CHANGES = "changes"
    FAILED = "failed"


# --- settings ---


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its times, its worth and whether it may be repeated."""

    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_us: int = 0
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling, which hold for each customer over all gateways; 0 means none."""

    rate: float = 0.0
    burst: float = 0.0
    max_out: int = 0
    worth_factor: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at start."""

    seed: int
    me: int
    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    max_attempts: int = 1
    max_retry_after_us: int = 0
    parallel_tries: bool = False
    may_probe: bool = False
    may_cancel: bool = False
    may_tell: bool = False
    may_count: bool = False
    must_subscribe: bool = False
    trued_up: bool = False
    peer_messages_per_s: float = 0.0
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    late_fail_price: float = 0.0
    message_price: float = 0.0
    probe_price: float = 0.0
    handshake_price: float = 0.0
    keep_us: int = 0
    answer_grace_us: int = 0
    ask_within_us: int = 0
    cold_from: float = 1.0
    warm_within_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 1


# --- what comes in ---


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server says of itself; None where it says nothing of the kind."""

    inflight: float | None = None
    queue: float | None = None
    util: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list."""

    name: str
    zone: int
    kind: int
    cell: int
    state: ServerState
    size: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class ServerList:
    """News of the servers: the whole list, changes to it, or word that a call failed."""

    kind: ListKind
    version: int
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; the gateway now owes one final answer."""

    id: str
    class_index: int
    plan_index: int
    customer: str
    left_us: int
    units: float = 1.0
    set_size: int = 1
    set_first: int = 0
    is_repeat: bool = False
    is_write: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun: the attempt belongs to the client."""

    id: str
    attempt: int
    server: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; each Send gets one."""

    id: str
    over: bool
    attempt: int
    server: str
    result: Result
    latency_us: int
    used_percent: int = 0
    true_units: float = 0.0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing is owed any more."""

    id: str


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that the gateway set has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a Probe."""

    server: str
    result: Result
    latency_us: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Word:
    """What one gateway tells another of a customer: to its home, or from there when it answers.

    A customer goes by a checksum of its name. `demand` and `spent` are new to the home; in an answer,
    `demand` is that of the whole set. `asked` waits for an answer; `level` is what the set has left or owes.
    `inside`: whether the home lets in what was asked, as it drew. `granted`: units as asked come with the
    answer from the home's share of the ceiling.
    """

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    is_answer: bool = False
    demand: float = 0.0
    spent: float = 0.0
    asked: float = 0.0
    level: float = 0.0
    granted: bool = False
    inside: bool | None = None


SPLIT_MARK = 255  # in place of a plan: the sender keeps no more of any ceiling than its split share
Key = tuple[int, int, int, int]  # of a customer: the checksum of its name, plan, first of its set, size of it


@dataclass(frozen=True, slots=True)
class LoanAsk:
    """A borrower's state with one lender of a ceiling's share, and what it would hold; shares in 1/10,000.

    A higher number voids all grants to lower ones. `accepted` is the last ask whose grant took hold,
    `returned` are units that go back with what is given up.
    """

    key: Key
    number: int
    accepted: int
    held: int
    wanted: int
    returned: float = 0.0


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """A lender's answer to the ask of that number: the whole share lent, and units that come with it once."""

    key: Key
    number: int
    share: int
    units: float = 0.0


@dataclass(frozen=True, slots=True)
class Hello:
    """A gateway has started: what it lent in an earlier life must not be used from now on."""


@dataclass(frozen=True, slots=True)
class Clear:
    """The answer: nothing of the shares of the gateway with that generation's hello is held here, and totals
    are told of so many customers whose home it is."""

    generation: int
    totals: int = 0


@dataclass(frozen=True, slots=True)
class Total:
    """All that a gateway has spent of a customer's quota since its start, and what is left of its part."""

    key: Key
    spent: float
    left: float


@dataclass(frozen=True, slots=True)
class Bye:
    """A gateway has ended in order: it spends nothing any more."""


LimitWord = LoanAsk | LoanGrant | Hello | Clear | Total | Bye


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway. `generation` is new with each start of a sender that tells totals;
    `hears` says whether it has heard this gateway of late."""

    sender: int
    words: tuple[Word | LimitWord, ...]
    generation: int | None = None
    hears: bool = True


@dataclass(frozen=True, slots=True)
class Counted:
    """The shared counter's reply to a Count."""

    name: int
    result: Result
    total: float
    latency_us: int


Event = (
    ServerList | Request | StreamStarted | Outcome | ClientGone | Timer | ProbeResult | PeerMessage | Counted
)


# --- what goes out ---


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; a time-out of 0 lasts until the client gives up."""

    id: str
    server: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not taken, and trying again is harmless."""

    id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about effects."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a server answers."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this gateway's idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send words to one peer."""

    peer: int
    words: tuple[Word | LimitWord, ...]


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a number that the shared counter keeps."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Follow the changes of the server list, or stop."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for those on call."""

    text: str


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Probe | CloseIdle | Tell | Count | Subscribe | FetchList | Log
)


# --- what the decisions consult ---


@dataclass(frozen=True, slots=True)
class Held:
    """What one front door knows of a customer's limits; shares from 0 to 1, units, seconds."""

    plan: int
    share: float  # of the ceiling, held here now
    store: float  # units that may be sent on under it
    lent: dict[int, float]  # share by borrower
    borrowed: dict[int, float]  # share by lender
    oldest_s: float  # age of the oldest loan taken, 0 for none
    taken: float  # units sent on under the ceiling, since the account was opened
    spent: float  # units of the quota spent here and told to its home
    apart: list[int]  # at the home: whose parts are not in its store


class Limits(Protocol):
    """Shares of ceilings that move, and how much of a quota may be spent here; a core without I/O.

    Without one, a gateway has its fixed part of each ceiling and takes the last word on a quota as it is.
    """

    def start(self, now_us: int) -> None:
        """The gateway lives from now on; called once, before all others."""

    def want(self, now_us: int, key: Key, units: float) -> None:
        """A try came that will take so much of its customer's ceiling."""

    def room(self, now_us: int, key: Key, units: float) -> bool:
        """Whether so much may be sent on under the customer's ceiling now."""

    def take(self, now_us: int, key: Key, units: float) -> None:
        """So much was sent on."""

    def reach(self, now_us: int, key: Key) -> tuple[int, float, float]:
        """The customer's home as seen from here; where that is this gateway, the part of the quota, from 0 to
        1, that this side of a split may spend; and units that have joined the store since the last call."""

    def spend(self, now_us: int, key: Key, units: float, left: float) -> None:
        """So much of the quota was spent here (below 0: given back), and so much of the part here is left."""

    def spent(self, now_us: int, sender: int, total: Total) -> float:
        """What is new in a total, in units to be taken from the customer's store at its home."""

    def counts(self, sender: int) -> bool:
        """Whether the other gateway tells totals, so that what its words say of spending is passed over."""

    def hear(self, now_us: int, message: PeerMessage) -> None:
        """A message from another gateway, before the module looks at its words."""

    def bye(self) -> list[tuple[int, LimitWord]]:
        """The last words, for each a peer."""

    def told(self, now_us: int, peer: int) -> None:
        """A message has just left for a peer."""

    def due(self, now_us: int) -> list[tuple[int, LimitWord | None]]:
        """Words to peers by now; None asks for a message to the peer even if there is no word for it."""

    @property
    def wake_us(self) -> int:
        """When `due` has something to do without an event."""

    def held(self, customer: int, now_us: int) -> list[Held]:
        """What is known of a customer, by the checksum of its name; it only reads."""
