"""What a backend's answer means."""

import logging

from molereach.policy.interface.events import AttemptResult, LoadReport
from molereach.protocol.load_reports import parse_load_report
from molereach.resp import Answer

log = logging.getLogger(__name__)


def outcome_of(answer: Answer) -> tuple[AttemptResult, bytes | None, LoadReport | None]:
    """What a backend's answer means."""
    load = read_load(answer.report)
    if answer.error is None:
        return AttemptResult.OK, answer.value, load
    word = answer.error.partition(b" ")[0]
    if word not in (b"BUSY", b"ERR"):
        log.error("a backend answers %.200r", answer.error)
    return (AttemptResult.REJECTED if word == b"BUSY" else AttemptResult.ERROR), None, load


def read_load(text: bytes | None) -> LoadReport | None:
    """A load report `name=value,...`; one that is malformed says nothing."""
    if not text or b"=" not in text:
        return None
    try:
        pairs = (part.split("=", 1) for part in text.decode().split(","))
        return parse_load_report((name, value) for name, value in pairs)
    except ValueError:
        return None
