"""Load reports: values out of range."""

import pytest

from molereach.policy.interface.events import LoadReport
from molereach.protocol.load_reports import parse_load_report


def test_value_out_of_range_is_treated_as_absent() -> None:
    """An implausible value is not an error, as reports are not trusted; one that is not a number is."""
    assert parse_load_report([("util", "7"), ("queue", "3")]) == LoadReport(queue_length=3.0)
    with pytest.raises(ValueError, match="nan"):
        parse_load_report([("util", "nan")])
