"""Parses the load reports of endpoints, whose fields have the platform's names.

Reports are not trusted: a value must be a plain non-negative number, and one that is implausibly large is
treated as absent.
"""

import re
from collections.abc import Iterable

from molereach.policy.interface.events import LoadReport

# The field of `LoadReport` for each reported name: first the names of the simulator's protocol, then those
# that endpoints use.
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
# CPU utilization is the ratio of busy cores to all cores; noisy reports may exceed 1.
MAX_VALUE_BY_FIELD = {"cpu_utilization": 2.0}
MAX_REPORTED_VALUE = 1e9  # for all other fields


def parse_load_report(values: Iterable[tuple[str, str]]) -> LoadReport:
    """Build a load report from pairs of reported name and text; unknown names and absent values are skipped.

    Raises ValueError if the value of a known field is not a number.
    """
    return LoadReport(
        **{
            FIELD_BY_REPORTED_NAME[name]: parse_reported_value(FIELD_BY_REPORTED_NAME[name], value)
            for name, value in values
            if name in FIELD_BY_REPORTED_NAME and value not in ("", "-")
        }
    )


def parse_reported_value(field: str, text: str) -> float | None:
    """Parse the value of one field of a load report; None if it is out of range.

    Raises ValueError if the text is not a number.
    """
    if not REPORTED_NUMBER.fullmatch(text):
        raise ValueError(f"a load report says {field}={text:.20}")
    value = float(text)
    return value if value <= MAX_VALUE_BY_FIELD.get(field, MAX_REPORTED_VALUE) else None
