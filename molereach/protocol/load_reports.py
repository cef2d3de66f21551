"""Load reports of endpoints, read from the names that the platform uses.

An endpoint is not trusted with what it reports: a value is a plain non-negative number, and one that no
endpoint can mean is treated as absent.
"""

import re
from collections.abc import Iterable

from molereach.policy.interface.events import LoadReport

# The fields of a load report: as the simulator's wire names them, then as endpoints do.
FIELD_BY_REPORTED_NAME = {
    "busy_reqs": "in_flight",
    "pending": "queue_length",
    "cpu_share": "cpu_utilization",
    "svc_ms": "service_time_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "inflight": "in_flight",
    "queue": "queue_length",
    "util": "cpu_utilization",
    "latency_ms": "service_time_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}

REPORTED_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?(e[-+]?[0-9]{1,2})?", re.ASCII)
MAX_VALUE_BY_FIELD = {"cpu_utilization": 2.0}  # busy cores over all cores; a report may be noisy
MAX_REPORTED_VALUE = 1e9  # of the other fields


def parse_load_report(values: Iterable[tuple[str, str]]) -> LoadReport:
    """A load report from pairs of name and text; unknown names and absent values are skipped.

    Raises ValueError where a known field holds no number.
    """
    return LoadReport(
        **{
            FIELD_BY_REPORTED_NAME[name]: parse_reported_value(FIELD_BY_REPORTED_NAME[name], value)
            for name, value in values
            if name in FIELD_BY_REPORTED_NAME and value not in ("", "-")
        }
    )


def parse_reported_value(field: str, text: str) -> float | None:
    """The value of one field of a load report; None where it is out of its range.

    Raises ValueError where the text is no number.
    """
    if not REPORTED_NUMBER.fullmatch(text):
        raise ValueError(f"a load report says {field}={text:.20}")
    value = float(text)
    return value if value <= MAX_VALUE_BY_FIELD.get(field, MAX_REPORTED_VALUE) else None
