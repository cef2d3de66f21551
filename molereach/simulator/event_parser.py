"""Parses lines of the simulator's protocol into the policy's settings, endpoints and events.

The functions raise WireError, ValueError or, for an unknown keyword, KeyError.
"""

from collections.abc import Iterable

from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    CounterUpdated,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Event,
    HealthCheckEnded,
    LoadReport,
    RequestReceived,
    ResponseStreamStarted,
    TimerExpired,
)
from molereach.protocol.load_reports import parse_load_report
from molereach.protocol.settings_reader import SettingsReader
from molereach.simulator.fields import FieldReader, WireError

ATTEMPT_RESULT_BY_NAME = {
    "served": AttemptResult.OK,
    "server_error": AttemptResult.ERROR,
    "turned_away": AttemptResult.REJECTED,
    "no_answer": AttemptResult.TIMEOUT,
    "no_connection": AttemptResult.CONNECT_FAILED,
    "connection_lost": AttemptResult.RESET,
    "called_off": AttemptResult.CANCELLED,
    "not_sent": AttemptResult.NOT_SENT,
}
ENDPOINT_STATE_BY_CODE = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.REMOVED}
ENDPOINT_LIST_KIND_BY_NAME = {
    "snapshot": EndpointListKind.FULL,
    "disk": EndpointListKind.SAVED,
    "diff": EndpointListKind.CHANGES,
    "error": EndpointListKind.FAILED,
}

# Bits of the last field of NEW_REQUEST.
CLIENT_RETRY_FLAG = 2
WRITE_FLAG = 4


def parse_settings(fields: Iterable[str]) -> SettingsReader:
    """Parse the settings of an instance from fields such as `plans.0.burst=3.0`."""
    values: dict[str, str] = {}
    for field in fields:
        path, separator, value = field.partition("=")
        if not separator:
            raise WireError(f"'{field}' is not path=value")
        values[path] = value
    return SettingsReader(values)


def parse_endpoint(line: str) -> Endpoint:
    """Parse one entry of an endpoint list."""
    name, *fields = line.split(" ")
    if name != "M":
        raise WireError("a list entry is missing")
    reader = FieldReader(fields)
    return Endpoint(
        name=reader.text(),
        zone=reader.integer(),
        kind=reader.integer(),
        cell=reader.integer(),
        state=ENDPOINT_STATE_BY_CODE[reader.text()],
        size=reader.number(1.0),
        started_us=reader.integer(0),
    )


def parse_event(name: str, reader: FieldReader, load_report_names: list[str]) -> Event:
    """Parse an event; `Host` handles those about instances, endpoint lists and gossip.

    `load_report_names` are the names of the values in a load report, in order.
    """
    match name:
        case "NEW_REQUEST":
            return _parse_request(reader)
        case "ATTEMPT_END":
            return _parse_attempt_end(reader, load_report_names)
        case "ACK_FIRST":
            return ResponseStreamStarted(reader.text(), reader.integer(), reader.text(), reader.integer(0))
        case "HANGUP":
            return ClientDisconnected(reader.text())
        case "BELL":
            return TimerExpired(reader.integer())
        case "CHECK_RESULT":
            return HealthCheckEnded(
                endpoint=reader.text(),
                result=ATTEMPT_RESULT_BY_NAME[reader.text()],
                latency_us=reader.integer(0),
                load_report=_parse_load_report(reader, load_report_names),
            )
        case "TOTAL":
            return CounterUpdated(
                name=reader.integer(),
                result=ATTEMPT_RESULT_BY_NAME[reader.text()],
                total=reader.number(0.0),
                latency_us=reader.integer(0),
            )
    raise WireError(f"unknown message '{name}'")


def _parse_request(reader: FieldReader) -> RequestReceived:
    request_id = reader.text()
    class_index = reader.integer()
    plan_index = reader.integer(0)
    customer = reader.text() if reader.is_present() else ""
    remaining_us = reader.integer()
    units = reader.number(1.0)
    set_size = int(reader.number(1.0))
    set_first = int(reader.number(0.0))
    flags = reader.integer(0)
    return RequestReceived(
        request_id=request_id,
        class_index=class_index,
        plan_index=plan_index,
        customer=customer,
        remaining_us=remaining_us,
        units=units,
        set_size=max(1, set_size),
        set_first=set_first,
        is_client_retry=bool(flags & CLIENT_RETRY_FLAG),
        is_write=bool(flags & WRITE_FLAG),
    )


def _parse_attempt_end(reader: FieldReader, load_report_names: list[str]) -> AttemptEnded:
    return AttemptEnded(
        request_id=reader.text(),
        is_request_closed=reader.flag(),
        attempt=reader.integer(),
        endpoint=reader.text(),
        result=ATTEMPT_RESULT_BY_NAME[reader.text()],
        latency_us=reader.integer(0),
        used_percent=reader.integer(0),
        actual_units=reader.number(0.0),
        load_report=_parse_load_report(reader, load_report_names),
    )


def _parse_load_report(reader: FieldReader, names: list[str]) -> LoadReport | None:
    if not reader.is_present():
        return None
    values = reader.text().split(",")
    if len(values) > len(names):
        raise WireError("the load report has more values than names")
    return parse_load_report(zip(names, values, strict=False))
