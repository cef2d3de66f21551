"""Calls for the list by a whole tier, against a discovery that takes them in turn."""

import asyncio
import heapq
import random
import time
from dataclasses import replace

from molereach.discovery.endpoint_discovery import EndpointDiscovery
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate
from molereach.discovery.poll_backoff import (
    BASE_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_LOCAL_DISCOVERY_BACKOFF_S,
    MAX_UNJITTERED_PROXIES,
    POLL_COST_S,
    POLL_INTERVAL_LIMIT_S,
    PollBackoff,
)
from molereach.proxy.proxy import Proxy
from tests.sockets import CONFIG, HEAD, Watch, catalog, chunk, run

DOORS = 40
# A call that waits so long is given up; the line takes in so many time-outs of work.
TIMEOUT_S, OVERBOOK = 2.0, 2.0


class Line:
    """Discovery: calls are worked on in turn, also those that nobody waits for any more."""

    def __init__(self, calls_per_s: float) -> None:
        self.each_s, self.free_s = 1 / calls_per_s, 0.0

    def call(self, now: float) -> tuple[bool, float]:
        """Whether the call is answered in time, and when its caller knows."""
        start = max(now, self.free_s)
        if start - now > OVERBOOK * TIMEOUT_S:
            return False, now
        self.free_s = start + self.each_s
        return self.free_s - now <= TIMEOUT_S, min(self.free_s, now + TIMEOUT_S)


def after_mass_break(tier: int, calls_per_s: float, seed: int, until_s: float = 60.0) -> list[float]:
    """All watches of a tier break at once: when each front door has its next one."""
    chance, line = random.Random(seed), Line(calls_per_s)
    doors = [PollBackoff(tier) for _ in range(DOORS)]
    due = [(pacing.record_failure(chance.random()), number) for number, pacing in enumerate(doors)]
    heapq.heapify(due)
    known = []
    while due and due[0][0] < until_s:
        now, number = heapq.heappop(due)
        ok, then = line.call(now)
        if ok:
            doors[number].reset()
            known.append(then)
        else:
            heapq.heappush(due, (then + doors[number].record_failure(chance.random()), number))
    return known


def test_calls_as_if_each_front_door_were_alone_never_end() -> None:
    """What the pacing is for: a line called by 40 front doors that each think they are few, and that give up
    the calls which wait in it. That they don't, and have their lists soon: test_notification_delay.py."""
    assert len(after_mass_break(1, DOORS / 8, 1)) < DOORS / 2


def test_small_tier_calls_soon() -> None:
    pacing = PollBackoff(MAX_UNJITTERED_PROXIES)
    assert pacing.initial_delay_s(1.0) == 0
    waits = [pacing.record_failure(1.0) for _ in range(100)]
    assert waits[:4] == [BASE_BACKOFF_S, 2 * BASE_BACKOFF_S, 4 * BASE_BACKOFF_S, 8 * BASE_BACKOFF_S]
    assert set(waits[4:]) == {MAX_BACKOFF_S}
    pacing.reset()
    assert pacing.record_failure(1.0) == BASE_BACKOFF_S


def test_restarted_front_door_of_a_large_tier_calls_at_its_own_time() -> None:
    async def job() -> None:
        async def play(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(5, [])))
            await asyncio.Event().wait()

        watch = Watch(play)
        heard: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        tasks = []
        doors, draw = MAX_UNJITTERED_PROXIES + 5, 0.1
        found = EndpointDiscovery(
            await watch.start(),
            EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
            4,
            heard.put_nowait,
            lambda job: tasks.append(asyncio.create_task(job)),
            lambda: PollBackoff(doors),
            lambda: draw,
        )
        started = time.monotonic()
        found.start()
        await heard.get()
        assert time.monotonic() - started >= 0.9 * 5 * POLL_COST_S * draw
        tasks[0].cancel()

    run(job())


ASK_WITHIN_S = 10.0


def test_agent_of_ones_own_machine_is_called_at_once_in_any_tier() -> None:
    """What it has counts as told: 148 of 212 were killed and sent to drained servers meanwhile."""

    async def job() -> None:
        settings = replace(
            CONFIG.settings, proxy_count=200, must_poll_endpoints=False, poll_within_us=10_000_000
        )
        door = Proxy(replace(CONFIG, settings=settings))
        try:
            pacing = door.discovery.current.backoff
            assert pacing.initial_delay_s(1.0) == 0
            assert pacing.record_failure(1.0) == BASE_BACKOFF_S
            assert (
                max(pacing.record_failure(1.0) for _ in range(100))
                == MAX_LOCAL_DISCOVERY_BACKOFF_S
                < MAX_BACKOFF_S
            )
        finally:
            door.close()

    run(job())


def test_large_tier_that_must_ask_has_called_before_lists_count_as_told() -> None:
    """However many they are; and after failed calls too: a change counts as told 6 s after discovery could be
    reached, whatever else is allowed."""
    settings = replace(CONFIG.settings, proxy_count=200, must_poll_endpoints=True, poll_within_us=10_000_000)
    pacing = PollBackoff.from_settings(settings)
    assert 0 < pacing.initial_delay_s(1.0) < ASK_WITHIN_S
    assert pacing.record_failure(1.0) < ASK_WITHIN_S
    assert max(pacing.record_failure(1.0) for _ in range(100)) <= POLL_INTERVAL_LIMIT_S < 6.0
