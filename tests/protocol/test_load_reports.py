"""Load reports: values that no endpoint can mean."""

import pytest

from molereach.policy.interface.events import LoadReport
from molereach.protocol.load_reports import parse_load_report


def test_value_beyond_its_range_is_absent() -> None:
    """Not an error: the wire may carry what no endpoint can mean."""
    assert parse_load_report([("util", "7"), ("queue", "3")]) == LoadReport(queue_length=3.0)
    with pytest.raises(ValueError, match="nan"):
        parse_load_report([("util", "nan")])
