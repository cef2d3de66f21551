"""The replay records events in order and detects a gateway that decides differently."""

from pathlib import Path

import pytest

import sim.histories
from molereach.policy import gateway
from tests.policy import replay


@pytest.mark.parametrize("limits", [False, True])
def test_comparison_reports_different_decisions_only(limits: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sim.histories, "Gateway", replay.RecordingGateway)
    monkeypatch.setattr(replay, "STREAMS", streams := [])
    replay.record_history(1, limits, 3)
    other_class = replay.load_other_gateway(str(Path(gateway.__file__).parent))
    assert other_class is not gateway.Gateway and len(streams) == 6  # one of five was killed and restarted
    assert all((stream[1] is not None) is limits and len(stream[2]) > 50 for stream in streams)
    for stream in streams:
        assert (
            replay.first_difference(
                replay.build_gateway(other_class, stream),
                replay.build_gateway(gateway.Gateway, stream),
                stream,
            )
            == ""
        )
    stream = max(streams, key=lambda each: len(each[2]))
    changed = replay.build_gateway(other_class, stream)
    changed.attempts.mean_latency_us[0] += 100.0  # changes its attempt timeouts
    assert "ForwardAttempt" in replay.first_difference(
        changed, replay.build_gateway(gateway.Gateway, stream), stream
    )
    changed = replay.build_gateway(other_class, stream)
    changed.random.random()
    assert (
        replay.first_difference(changed, replay.build_gateway(gateway.Gateway, stream), (*stream[:2], []))
        != ""
    )
