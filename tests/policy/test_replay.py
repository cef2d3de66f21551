"""The replay: events are kept as they came, and a gateway that decides otherwise is found."""

from pathlib import Path

import pytest

import sim.histories
from molereach.policy import gateway
from tests.policy import replay


@pytest.mark.parametrize("limits", [False, True])
def test_other_decisions_are_found_and_the_same_ones_are_not(
    limits: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sim.histories, "Gateway", replay.Recorded)
    monkeypatch.setattr(replay, "STREAMS", streams := [])
    replay.record_history(1, limits, 3)
    kind = replay.other(str(Path(gateway.__file__).parent))
    assert kind is not gateway.Gateway and len(streams) == 6  # one of five was killed and started again
    assert all((stream[1] is not None) is limits and len(stream[2]) > 50 for stream in streams)
    for stream in streams:
        assert (
            replay.difference(replay.made(kind, stream), replay.made(gateway.Gateway, stream), stream) == ""
        )
    stream = max(streams, key=lambda each: len(each[2]))
    other = replay.made(kind, stream)
    other.attempts.mean_latency_us[0] += 100.0  # it gives attempts up at other times
    assert "ForwardAttempt" in replay.difference(other, replay.made(gateway.Gateway, stream), stream)
    other = replay.made(kind, stream)
    other.random.random()
    assert replay.difference(other, replay.made(gateway.Gateway, stream), (*stream[:2], [])) != ""
