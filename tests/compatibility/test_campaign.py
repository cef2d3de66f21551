"""Recorded ways of orders through a fleet: their messages and reports are read as what the types hold."""

import msgspec
import pytest

from molereach.fleet.agreement import Message
from molereach.fleet.rollout.report import Report, Verdict
from tests.compatibility import campaign_samples as samples
from tests.compatibility.recording import recorded_lines

VERDICTS = {"done": Verdict.DONE, "refused": Verdict.REJECTED, "finishes-another": Verdict.CONFLICT}


@pytest.mark.parametrize("name", samples.CASES)
def test_report_is_read_as_it_was_made(name: str) -> None:
    found = msgspec.json.decode(recorded_lines(f"campaign-{name}.txt")[-1], type=Report)
    assert found == samples.run(name)[1]
    assert found.verdict is VERDICTS[name]


@pytest.mark.parametrize("name", samples.CASES)
def test_messages_are_read_and_written_again_alike(name: str) -> None:
    for line in recorded_lines(f"campaign-{name}.txt")[:-1]:
        _, agent, text = line.split(" ", 2)
        message: Message = msgspec.json.decode(text, type=Message)
        assert agent in samples.AGENTS
        assert msgspec.json.encode(message).decode() == text
