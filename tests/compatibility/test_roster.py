"""The recorded history and views of an agent's front doors are read as the values that the roster has."""

import msgspec

from molereach.fleet.api_bodies import Event, ProxyStatus
from tests.compatibility import roster_samples as samples
from tests.compatibility.recording import recorded_lines


def test_history_and_views_are_read_as_told() -> None:
    lines, made = recorded_lines("fleet-roster.json"), samples.played()
    history, views = list(made.history), made.proxy_statuses(samples.BEGUN_MS + 10_000)
    assert [msgspec.json.decode(line, type=Event) for line in lines[: len(history)]] == history
    assert tuple(msgspec.json.decode(line, type=ProxyStatus) for line in lines[len(history) :]) == views
