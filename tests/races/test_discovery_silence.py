"""When a discovery that is silent, down or back is contacted again, in virtual time.

Cases: docs/design/endings.md, "Discovery".
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

MAX_REOPEN_DELAY_S = 6.0  # from the last byte of a watch, by the protocol
MIN_DRAIN_GRACE_S = 1.0  # shortest time at any site from the report of a drain to the last new attempt
CONNECT_TIMEOUT_S = 1.0  # limit of a hanging connect


class SupervisorDriver:
    """The watch supervisor, driven against a scripted discovery on the test's clock."""

    def __init__(self, must_poll: bool = False) -> None:
        self.supervisor = WatchSupervisor(PollBackoff(1, must_poll=must_poll), lambda: 0.5)
        self.now_s, self.opened_times_s = 0.0, []
        self.opened_times_s: list[float]

    def step(self, until_s: float) -> list[int]:
        """Advance to the next action or the given time; return the attempts that expired then."""
        self.now_s = min(until_s, self.now_s + self.supervisor.wait_s(self.now_s))
        failed = self.supervisor.expired(self.now_s)
        for number in failed:
            self.supervisor.record_failure(number, self.now_s)
        if self.supervisor.open_if_due(self.now_s):
            self.opened_times_s.append(self.now_s)
        for number in self.supervisor.surplus():
            self.supervisor.forget_attempt(number)
        return failed

    def run_until(self, until_s: float) -> None:
        while self.now_s < until_s:
            self.step(until_s)

    def open_watch(self) -> int:
        """Open a watch that has received an object; return its number."""
        self.step(self.now_s)
        number = self.supervisor.opened_count
        self.supervisor.record_object(number, self.now_s)
        return number


@pytest.mark.parametrize(("must_poll", "hung_connects"), [(False, 2), (True, 1)])
def test_silent_watch_is_reopened_in_time_despite_hanging_connects(
    must_poll: bool, hung_connects: int
) -> None:
    driver = SupervisorDriver(must_poll)
    number = driver.open_watch()
    connects: dict[int, float] = {}
    while len(driver.opened_times_s) < 2 + hung_connects:
        driver.step(min([math.inf, *(started_s + CONNECT_TIMEOUT_S for started_s in connects.values())]))
        for connect in [
            connect
            for connect, started_s in connects.items()
            if driver.now_s >= started_s + CONNECT_TIMEOUT_S
        ]:
            del connects[connect]
            driver.supervisor.record_failure(connect, driver.now_s)
        connects |= {
            connect: attempt.opened_at_s
            for connect, attempt in driver.supervisor.open_attempts.items()
            if connect != number
        }
    assert number not in driver.supervisor.open_attempts
    assert driver.opened_times_s[-1] < MAX_REOPEN_DELAY_S - 0.1


def test_polled_watch_survives_one_late_heartbeat() -> None:
    driver = SupervisorDriver(must_poll=True)
    number = driver.open_watch()
    driver.run_until(2 * HEARTBEAT_INTERVAL_S)
    assert driver.opened_times_s == [0.0] and number in driver.supervisor.open_attempts


@pytest.mark.parametrize("byte_interval_s", [0.1, 2.9])
def test_watch_that_trickles_a_partial_object_is_reopened_in_time(byte_interval_s: float) -> None:
    driver = SupervisorDriver()
    number = driver.open_watch()
    while number in driver.supervisor.open_attempts:
        driver.run_until(driver.now_s + byte_interval_s)
        driver.supervisor.record_bytes(number, driver.now_s)
        assert driver.now_s < LOCAL_DISCOVERY_OBJECT_TIMEOUT_S + byte_interval_s
    assert driver.opened_times_s[1] <= LOCAL_DISCOVERY_OBJECT_TIMEOUT_S < MAX_REOPEN_DELAY_S


def test_response_head_without_a_body_counts_as_silent() -> None:
    driver = SupervisorDriver()
    driver.step(0)
    driver.supervisor.record_bytes(1, 0.0)
    driver.run_until(LOCAL_DISCOVERY_SILENCE_TIMEOUT_S)
    assert driver.opened_times_s == [0.0, LOCAL_DISCOVERY_SILENCE_TIMEOUT_S]


def test_heartbeats_keep_a_watch_open() -> None:
    driver = SupervisorDriver()
    number = driver.open_watch()
    for beat in range(100):
        driver.run_until(2.0 * beat)
        driver.supervisor.record_object(number, driver.now_s)
    assert driver.opened_times_s == [0.0] and list(driver.supervisor.open_attempts) == [number]


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.floats(0, 9), st.sampled_from(["hangs", "refuses", "forgets"]), st.floats(0, 0.2))
def test_returned_agent_is_contacted_within_the_grace_period(
    return_s: float, outage: str, connect_s: float
) -> None:
    """During the outage attempts hang until the agent is back and answers them, are refused, or stay
    unanswered."""
    driver = SupervisorDriver()
    driver.open_watch()
    driver.run_until(LOCAL_DISCOVERY_SILENCE_TIMEOUT_S)
    return_s += LOCAL_DISCOVERY_SILENCE_TIMEOUT_S
    while driver.now_s < return_s:
        if outage == "refuses":
            for number in list(driver.supervisor.open_attempts):
                driver.supervisor.record_failure(number, driver.now_s)
        driver.step(return_s)
        assert len(driver.supervisor.open_attempts) <= MAX_OPEN_ATTEMPTS
    if outage == "hangs":
        assert driver.supervisor.open_attempts  # one of these is answered now
        return
    opened_count = len(driver.opened_times_s)
    while len(driver.opened_times_s) == opened_count:
        driver.step(math.inf)
    assert driver.now_s + connect_s - return_s < MIN_DRAIN_GRACE_S
    assert driver.now_s - return_s <= max(LOCAL_DISCOVERY_HEDGE_DELAY_S, MAX_LOCAL_DISCOVERY_BACKOFF_S)


def test_refusing_agent_is_contacted_at_a_bounded_rate() -> None:
    driver = SupervisorDriver()
    while driver.now_s < 10:
        for number in list(driver.supervisor.open_attempts):
            driver.supervisor.record_failure(number, driver.now_s)
        driver.step(10)
    assert len(driver.opened_times_s) <= 10 / MAX_LOCAL_DISCOVERY_BACKOFF_S + 3


def test_oldest_attempt_is_kept_for_a_slow_response() -> None:
    """It stays open while newer attempts start and end beside it."""
    driver = SupervisorDriver()
    driver.step(0)
    driver.run_until(3 * LOCAL_DISCOVERY_HEDGE_DELAY_S)
    assert list(driver.supervisor.open_attempts) == [1, 4]
    assert driver.supervisor.record_object(1, driver.now_s) == [4]
    driver.supervisor.forget_attempt(4)
    driver.run_until(driver.now_s + LOCAL_DISCOVERY_SILENCE_TIMEOUT_S - 0.1)
    assert list(driver.supervisor.open_attempts) == [1]


def test_polled_list_is_requested_again_only_after_the_poll_interval() -> None:
    """Discovery may still be working on queued requests whose client has gone. The oldest attempt is
    therefore kept, and another one starts only when a change would otherwise count as reported without having
    been received."""
    driver = SupervisorDriver(must_poll=True)
    while driver.now_s < POLLED_RESPONSE_TIMEOUT_S - 0.1:
        driver.step(POLLED_RESPONSE_TIMEOUT_S - 0.1)
        assert len(driver.supervisor.open_attempts) <= (
            1 if driver.now_s < POLL_INTERVAL_LIMIT_S else MAX_OPEN_ATTEMPTS
        )
        assert 1 in driver.supervisor.open_attempts
    assert len(driver.opened_times_s) <= POLLED_RESPONSE_TIMEOUT_S / POLL_INTERVAL_LIMIT_S + 1
    driver.run_until(90.0)
    assert len(driver.opened_times_s) <= 90 / POLL_INTERVAL_LIMIT_S + 1
