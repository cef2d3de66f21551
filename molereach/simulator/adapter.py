"""The simulator's wire on standard input and output, translated to the module's events and actions.

Only translation: one `Gateway` for each instance, no decision. Malformed input ends the process with
one line on standard error; an exception in the module is reported on the wire.
"""

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    ForwardAttempt,
    Reject,
    SendGossip,
    SetTimer,
    SubscribeToEndpoints,
    WriteLog,
)
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    CounterUpdated,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    GossipReceived,
    HealthCheckEnded,
    LoadReport,
    RequestReceived,
    ResponseStreamStarted,
    TimerExpired,
)
from molereach.policy.interface.settings import Settings
from molereach.protocol.gossip_codec import GossipCodec, QuotaGossipCodec
from molereach.protocol.load_reports import parse_load_report
from molereach.protocol.settings import read_settings
from molereach.protocol.settings_reader import SettingsReader

RESULTS = {
    "served": AttemptResult.OK,
    "server_error": AttemptResult.ERROR,
    "turned_away": AttemptResult.REJECTED,
    "no_answer": AttemptResult.TIMEOUT,
    "no_connection": AttemptResult.CONNECT_FAILED,
    "connection_lost": AttemptResult.RESET,
    "called_off": AttemptResult.CANCELLED,
    "not_sent": AttemptResult.NOT_SENT,
}
STATES = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.GONE}
LISTS = {
    "snapshot": EndpointListKind.FULL,
    "disk": EndpointListKind.SAVED,
    "diff": EndpointListKind.CHANGES,
    "error": EndpointListKind.FAILED,
}
PLAIN = QuotaGossipCodec()


class WireError(Exception):
    """The input is not what the wire's page describes."""


class Fields:
    """The values of one line, taken in order."""

    def __init__(self, parts: list[str]) -> None:
        self.parts = parts
        self.at = 0

    def text(self) -> str:
        if self.at >= len(self.parts) or self.parts[self.at] in ("", "-"):
            raise WireError(f"field {self.at + 1} is missing")
        self.at += 1
        return self.parts[self.at - 1]

    def given(self) -> bool:
        """Whether an optional value comes next; an absent one is stepped over."""
        if self.at >= len(self.parts):
            return False
        if self.parts[self.at] in ("", "-"):
            self.at += 1
            return False
        return True

    def whole(self, default: int | None = None) -> int:
        if default is not None and not self.given():
            return default
        return int(self.text())

    def number(self, default: float | None = None) -> float:
        if default is not None and not self.given():
            return default
        return float(self.text())

    def flag(self) -> bool:
        word = self.text()
        if word not in ("0", "1"):
            raise WireError(f"'{word}' is not 0 or 1")
        return word == "1"


def read_pairs(parts: Iterable[str]) -> SettingsReader:
    values: dict[str, str] = {}
    for part in parts:
        path, sign, value = part.partition("=")
        if not sign:
            raise WireError(f"'{part}' is not path=value")
        values[path] = value
    return SettingsReader(values)


def read_load(fields: Fields, names: list[str]) -> LoadReport | None:
    """A load report, whose values stand in the order of their names."""
    if not fields.given():
        return None
    values = fields.text().split(",")
    if len(values) > len(names):
        raise WireError("the load report has more values than names")
    return parse_load_report(zip(names, values, strict=False))


def read_server(line: str) -> Endpoint:
    name, *parts = line.split(" ")
    if name != "M":
        raise WireError("a list entry is missing")
    fields = Fields(parts)
    return Endpoint(
        name=fields.text(),
        zone=fields.whole(),
        kind=fields.whole(),
        cell=fields.whole(),
        state=STATES[fields.text()],
        size=fields.number(1.0),
        started_us=fields.whole(0),
    )


def read_request(fields: Fields) -> RequestReceived:
    request_id, class_index = fields.text(), fields.whole()
    plan_index = fields.whole(0)
    customer = fields.text() if fields.given() else ""
    left_us, units = fields.whole(), fields.number(1.0)
    set_size, set_first = int(fields.number(1.0)), int(fields.number(0.0))
    marks = fields.whole(0)
    return RequestReceived(
        request_id,
        class_index,
        plan_index,
        customer,
        left_us,
        units,
        max(1, set_size),
        set_first,
        bool(marks & 2),
        bool(marks & 4),
    )


def read_outcome(fields: Fields, names: list[str]) -> AttemptEnded:
    return AttemptEnded(
        request_id=fields.text(),
        is_request_closed=fields.flag(),
        attempt=fields.whole(),
        endpoint=fields.text(),
        result=RESULTS[fields.text()],
        latency_us=fields.whole(0),
        used_percent=fields.whole(0),
        actual_units=fields.number(0.0),
        load_report=read_load(fields, names),
    )


def read_bytes(fields: Fields) -> bytes:
    return bytes.fromhex(fields.text()) if fields.given() else b""


def read_event(name: str, fields: Fields, names: list[str]) -> Event:
    """One event other than the start, the end and the server list of an instance."""
    if name == "NEW_REQUEST":
        return read_request(fields)
    if name == "ATTEMPT_END":
        return read_outcome(fields, names)
    if name == "ACK_FIRST":
        return ResponseStreamStarted(fields.text(), fields.whole(), fields.text(), fields.whole(0))
    if name == "HANGUP":
        return ClientDisconnected(fields.text())
    if name == "BELL":
        return TimerExpired(fields.whole())
    if name == "CHECK_RESULT":
        server, result = fields.text(), RESULTS[fields.text()]
        return HealthCheckEnded(server, result, fields.whole(0), read_load(fields, names))
    if name == "TOTAL":
        return CounterUpdated(fields.whole(), RESULTS[fields.text()], fields.number(0.0), fields.whole(0))
    raise WireError(f"unknown message '{name}'")


def write_action(action: Action, form: GossipCodec = PLAIN) -> str:
    match action:
        case SendGossip(peer, words):
            return "\n".join(f"TELL {peer} {data.hex()}" for data in form.pack(peer, words))
        case ForwardAttempt(request_id, server, timeout_us):
            return f"TRY {request_id} {server} {timeout_us}"
        case CancelAttempt(request_id, attempt):
            return f"CANCEL {request_id} {attempt}"
        case Reject(request_id, retry_after_us):
            return f"TURN_AWAY {request_id} {retry_after_us}"
        case FailRequest(request_id):
            return f"END_FAILED {request_id}"
        case SetTimer(delay_us, token):
            return f"ARM {delay_us} {token}"
        case CheckHealth(server):
            return f"CHECK {server}"
        case CloseIdleConnections(server):
            return f"HANG_UP {server}"
        case AddToCounter(name, amount, lifetime_us):
            return f"ADD_TO {name} {amount:g} {lifetime_us}"
        case SubscribeToEndpoints(on):
            return f"STREAM_CHANGES {int(on)}"
        case FetchEndpoints():
            return "SNAPSHOT"
        case WriteLog(text):
            return f"EMIT {one_line(text)}"
    raise TypeError(f"not an action: {action!r}")


def one_line(text: str) -> str:
    return " ".join(text.split())


class ModuleError(Exception):
    """The decision module raised an exception."""


class Host:
    """The instances of this process and the numbered server lists they refer to."""

    def __init__(self, with_limits: bool = False) -> None:
        self.with_limits = with_limits
        self.forms: dict[int, GossipCodec] = {}
        self.gateways: dict[int, Gateway] = {}
        self.report_names: dict[int, list[str]] = {}
        self.sheets: dict[int, tuple[Endpoint, ...]] = {}
        self.target: int | None = None
        self.context: int | None = None
        self.now_us = 0

    def start_batch(self, now_us: int) -> None:
        self.now_us, self.target, self.context = now_us, None, None

    def event(self, name: str, parts: list[str], lines: Iterator[str]) -> list[str]:
        """Apply one event; the reply's lines for it."""
        fields = Fields(parts)
        if name == "TARGET_INSTANCE":
            self.target = fields.whole()
            return []
        if name == "SHEET":
            number, size = fields.whole(), fields.whole()
            self.sheets[number] = tuple([read_server(next(lines)) for _ in range(size)])
            return []
        if self.target is None:
            raise WireError("no instance is named")
        if name == "NEW_INSTANCE":
            pairs = read_pairs(part for part in parts[1:] if part)
            how = pairs.text("stats.names")
            self.report_names[self.target] = how.split(",") if how else []
            self.gateways[self.target] = self.gateway(self.target, read_settings(fields.whole(), pairs))
            return []
        if self.target not in self.gateways:
            raise WireError(f"there is no instance {self.target}")
        if name == "KILLED":
            del self.gateways[self.target]
            return []
        if name == "UPDATE":
            event: Event = self.read_list(fields)
        elif name == "FROM_PEER":
            sender, data = fields.whole(), read_bytes(fields)
            heard = self.forms[self.target].unpack(sender, data)
            event = heard or GossipReceived(sender, ())
        else:
            event = read_event(name, fields, self.report_names[self.target])
        return self.decide(event)

    def gateway(self, instance: int, settings: Settings) -> Gateway:
        """A gateway, and how its words stand in messages; with limits only where they are asked for."""
        if not self.with_limits:
            self.forms[instance] = PLAIN
            return Gateway(settings)
        from molereach.limits.core import Limits
        from molereach.limits.messages import LimitGossipCodec
        from molereach.limits.settings import LimitSettings

        limits = Limits(settings, LimitSettings())
        self.forms[instance] = LimitGossipCodec(
            limits.proxy_index, limits.incarnation, limits.sends_totals, hears=limits.receives_from
        )
        return Gateway(settings, limits)

    def read_list(self, fields: Fields) -> EndpointListReceived:
        kind, version, sheet = LISTS[fields.text()], fields.whole(0), fields.whole(0)
        if kind is EndpointListKind.FAILED:
            return EndpointListReceived(kind, version)
        if sheet not in self.sheets:
            raise WireError(f"there is no list {sheet}")
        return EndpointListReceived(kind, version, self.sheets[sheet])

    def decide(self, event: Event) -> list[str]:
        assert self.target is not None
        try:
            actions = self.gateways[self.target].handle(self.now_us, event)
        except Exception as error:
            raise ModuleError(f"{type(error).__name__}: {error}") from error
        form = self.forms[self.target]
        lines = [write_action(action, form) for action in actions]
        if lines and self.context != self.target:
            self.context = self.target
            lines.insert(0, f"CONTEXT {self.target}")
        return lines


def run_batch(host: Host, lines: Iterator[str]) -> list[str] | None:
    """The reply to the next batch, or None at the end of the input."""
    first = next(lines, None)
    if first is None:
        return None
    name, *parts = first.split(" ")
    if name != "MARK":
        raise WireError("a batch starts with MARK")
    host.start_batch(Fields(parts).whole())
    reply: list[str] = []
    for line in lines:
        name, *parts = line.split(" ")
        if name == "EOF_BATCH":
            return [*reply, "FINISHED"]
        try:
            reply += host.event(name, parts, lines)
        except ModuleError as error:
            reply += [f"CONTEXT {host.target}", f"FAULT {one_line(str(error))}"]
    raise WireError("the input ends within a batch")


def serve(source: TextIO, sink: TextIO, with_limits: bool = False) -> int:
    """Answer batches until the input ends; the exit code."""
    count = 0

    def numbered() -> Iterator[str]:
        nonlocal count
        for line in source:
            count += 1
            yield line.rstrip("\n")

    host, lines = Host(with_limits), numbered()
    try:
        while (reply := run_batch(host, lines)) is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    except (WireError, ValueError, KeyError, StopIteration) as error:
        text = f"unknown word {error}" if isinstance(error, KeyError) else str(error) or "a list is cut off"
        print(f"molereach: line {count}: {one_line(text)}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout, with_limits=sys.argv[1:] == ["--limits"])


if __name__ == "__main__":
    sys.exit(main())
