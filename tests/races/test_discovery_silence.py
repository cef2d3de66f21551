"""Discovery falls silent, is down and comes back: by when it is asked again, on a clock of the test's own.

The rows: docs/design/endings.md, "Discovery".
"""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.discovery.poll_backoff import MAX_LOCAL_DISCOVERY_BACKOFF_S, POLL_INTERVAL_LIMIT_S, PollBackoff
from molereach.discovery.watch_supervisor import (
    HEARTBEAT_INTERVAL_S,
    LOCAL_DISCOVERY_HEDGE_DELAY_S,
    LOCAL_DISCOVERY_OBJECT_TIMEOUT_S,
    LOCAL_DISCOVERY_SILENCE_TIMEOUT_S,
    MAX_OPEN_ATTEMPTS,
    POLLED_RESPONSE_TIMEOUT_S,
    WatchSupervisor,
)

TOLD_S = 6.0  # from when a watch fell silent, by the protocol
GRACE_S = 1.0  # the least time of a site from being told of a drain to the last new send
DIAL_S = 1.0  # a dial that hangs is given up


class Agent:
    """The core against a discovery that does what the test says, on the test's clock."""

    def __init__(self, must_poll: bool = False) -> None:
        self.calling = WatchSupervisor(PollBackoff(1, must_poll=must_poll), lambda: 0.5)
        self.now_s, self.opened = 0.0, []
        self.opened: list[float]

    def step(self, until_s: float) -> list[int]:
        """Go on to the next thing to do, or to a time; the calls that failed then."""
        self.now_s = min(until_s, self.now_s + self.calling.wait_s(self.now_s))
        failed = self.calling.expired(self.now_s)
        for number in failed:
            self.calling.record_failure(number, self.now_s)
        if self.calling.open_if_due(self.now_s):
            self.opened.append(self.now_s)
        for number in self.calling.surplus():
            self.calling.complete(number)
        return failed

    def go_to(self, until_s: float) -> None:
        while self.now_s < until_s:
            self.step(until_s)

    def lives(self) -> int:
        """A watch is open and has brought something; its number."""
        self.step(self.now_s)
        number = self.calling.opened_count
        self.calling.record_object(number, self.now_s)
        return number


@pytest.mark.parametrize(("must_poll", "hanging"), [(False, 2), (True, 1)])
def test_watch_that_falls_silent_is_opened_anew_in_time_for_dials_that_hang(
    must_poll: bool, hanging: int
) -> None:
    agent = Agent(must_poll)
    number = agent.lives()
    dials: dict[int, float] = {}
    while len(agent.opened) < 2 + hanging:
        agent.step(min([math.inf, *(at + DIAL_S for at in dials.values())]))
        for dial in [dial for dial, at in dials.items() if agent.now_s >= at + DIAL_S]:
            del dials[dial]
            agent.calling.record_failure(dial, agent.now_s)
        dials |= {
            dial: call.opened_at_s for dial, call in agent.calling.open_attempts.items() if dial != number
        }
    assert number not in agent.calling.open_attempts
    assert agent.opened[-1] < TOLD_S - 0.1


def test_watch_that_must_be_asked_for_is_not_given_up_for_one_sign_that_is_late() -> None:
    agent = Agent(must_poll=True)
    number = agent.lives()
    agent.go_to(2 * HEARTBEAT_INTERVAL_S)
    assert agent.opened == [0.0] and number in agent.calling.open_attempts


@pytest.mark.parametrize("bytes_each_s", [0.1, 2.9])
def test_watch_that_trickles_half_a_line_is_opened_anew_in_time(bytes_each_s: float) -> None:
    agent = Agent()
    number = agent.lives()
    while number in agent.calling.open_attempts:
        agent.go_to(agent.now_s + bytes_each_s)
        agent.calling.record_bytes(number, agent.now_s)
        assert agent.now_s < LOCAL_DISCOVERY_OBJECT_TIMEOUT_S + bytes_each_s
    assert agent.opened[1] <= LOCAL_DISCOVERY_OBJECT_TIMEOUT_S < TOLD_S


def test_answer_that_is_only_a_head_is_as_silent_as_a_watch() -> None:
    agent = Agent()
    agent.step(0)
    agent.calling.record_bytes(1, 0.0)
    agent.go_to(LOCAL_DISCOVERY_SILENCE_TIMEOUT_S)
    assert agent.opened == [0.0, LOCAL_DISCOVERY_SILENCE_TIMEOUT_S]


def test_signs_of_life_keep_a_watch_however_long() -> None:
    agent = Agent()
    number = agent.lives()
    for beat in range(100):
        agent.go_to(2.0 * beat)
        agent.calling.record_object(number, agent.now_s)
    assert agent.opened == [0.0] and list(agent.calling.open_attempts) == [number]


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.floats(0, 9), st.sampled_from(["hangs", "refuses", "forgets"]), st.floats(0, 0.2))
def test_agent_that_is_back_is_asked_within_its_grace(back_s: float, while_down: str, dial_s: float) -> None:
    """Calls made while it is down are held and answered when it is back, or refused, or never answered."""
    agent = Agent()
    agent.lives()
    agent.go_to(LOCAL_DISCOVERY_SILENCE_TIMEOUT_S)
    back_s += LOCAL_DISCOVERY_SILENCE_TIMEOUT_S
    while agent.now_s < back_s:
        if while_down == "refuses":
            for number in list(agent.calling.open_attempts):
                agent.calling.record_failure(number, agent.now_s)
        agent.step(back_s)
        assert len(agent.calling.open_attempts) <= MAX_OPEN_ATTEMPTS
    if while_down == "hangs":
        assert agent.calling.open_attempts  # one of them is answered now
        return
    opened = len(agent.opened)
    while len(agent.opened) == opened:
        agent.step(math.inf)
    assert agent.now_s + dial_s - back_s < GRACE_S
    assert agent.now_s - back_s <= max(LOCAL_DISCOVERY_HEDGE_DELAY_S, MAX_LOCAL_DISCOVERY_BACKOFF_S)


def test_agent_that_refuses_is_called_at_a_bounded_rate() -> None:
    agent = Agent()
    while agent.now_s < 10:
        for number in list(agent.calling.open_attempts):
            agent.calling.record_failure(number, agent.now_s)
        agent.step(10)
    assert len(agent.opened) <= 10 / MAX_LOCAL_DISCOVERY_BACKOFF_S + 3


def test_slow_answer_comes_by_the_eldest_call() -> None:
    """It is kept while younger ones come and go beside it."""
    agent = Agent()
    agent.step(0)
    agent.go_to(3 * LOCAL_DISCOVERY_HEDGE_DELAY_S)
    assert list(agent.calling.open_attempts) == [1, 4]
    assert agent.calling.record_object(1, agent.now_s) == [4]
    agent.calling.complete(4)
    agent.go_to(agent.now_s + LOCAL_DISCOVERY_SILENCE_TIMEOUT_S - 0.1)
    assert list(agent.calling.open_attempts) == [1]


def test_list_that_must_be_asked_for_is_asked_for_once_in_the_time_that_there_is() -> None:
    """A call may wait in discovery's line, which works on calls that nobody waits for any more: the eldest is
    kept, and one comes beside it only when a change would else count as told unheard."""
    agent = Agent(must_poll=True)
    while agent.now_s < POLLED_RESPONSE_TIMEOUT_S - 0.1:
        agent.step(POLLED_RESPONSE_TIMEOUT_S - 0.1)
        assert len(agent.calling.open_attempts) <= (
            1 if agent.now_s < POLL_INTERVAL_LIMIT_S else MAX_OPEN_ATTEMPTS
        )
        assert 1 in agent.calling.open_attempts
    assert len(agent.opened) <= POLLED_RESPONSE_TIMEOUT_S / POLL_INTERVAL_LIMIT_S + 1
    agent.go_to(90.0)
    assert len(agent.opened) <= 90 / POLL_INTERVAL_LIMIT_S + 1
