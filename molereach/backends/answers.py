"""Maps a backend's answer to the result of an attempt."""

import logging

from molereach.policy.interface.events import AttemptResult, LoadReport
from molereach.protocol.load_reports import parse_load_report
from molereach.resp import Answer

log = logging.getLogger(__name__)

BUSY = b"BUSY"
ERROR = b"ERR"


def outcome_of(answer: Answer) -> tuple[AttemptResult, bytes | None, LoadReport | None]:
    """Return the result, value and load report of an answer."""
    report = parse_report(answer.report)
    if answer.error is None:
        return AttemptResult.OK, answer.value, report
    code = answer.error.partition(b" ")[0]
    if code not in (BUSY, ERROR):
        log.error("unknown error from a backend: %.200r", answer.error)
    return (AttemptResult.REJECTED if code == BUSY else AttemptResult.ERROR), None, report


def parse_report(text: bytes | None) -> LoadReport | None:
    """Parse the load report `name=value,...`; None if it is absent or malformed."""
    if not text or b"=" not in text:
        return None
    try:
        pairs = (field.split("=", 1) for field in text.decode().split(","))
        return parse_load_report((name, value) for name, value in pairs)
    except ValueError:
        return None
