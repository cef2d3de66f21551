"""Polls of many proxies at once, against a discovery that processes them in order."""

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
from tests.sockets import CONFIG, HEAD, DiscoveryServer, catalog, chunk, run

PROXY_COUNT = 40
CLIENT_TIMEOUT_S, MAX_QUEUE_TIMEOUTS = 2.0, 2.0  # discovery queues work for so many client timeouts


class DiscoveryQueue:
    """Discovery: requests are processed in order, including those whose clients have timed out."""

    def __init__(self, requests_per_s: float) -> None:
        self.service_time_s, self.free_at_s = 1 / requests_per_s, 0.0

    def request(self, now_s: float) -> tuple[bool, float]:
        """Whether the request is answered in time, and when its client has the answer or the error."""
        start_s = max(now_s, self.free_at_s)
        if start_s - now_s > MAX_QUEUE_TIMEOUTS * CLIENT_TIMEOUT_S:
            return False, now_s
        self.free_at_s = start_s + self.service_time_s
        return self.free_at_s - now_s <= CLIENT_TIMEOUT_S, min(self.free_at_s, now_s + CLIENT_TIMEOUT_S)


def recovery_times_s(
    assumed_proxy_count: int, requests_per_s: float, seed: int, until_s: float = 60.0
) -> list[float]:
    """All watches break at once: when each proxy that has an answer in time got its first one."""
    random_source, queue = random.Random(seed), DiscoveryQueue(requests_per_s)
    backoffs = [PollBackoff(assumed_proxy_count) for _ in range(PROXY_COUNT)]
    due = [
        (backoff.record_failure(random_source.random()), number) for number, backoff in enumerate(backoffs)
    ]
    heapq.heapify(due)
    answered_s = []
    while due and due[0][0] < until_s:
        now_s, number = heapq.heappop(due)
        is_answered, ended_s = queue.request(now_s)
        if is_answered:
            backoffs[number].reset()
            answered_s.append(ended_s)
        else:
            heapq.heappush(due, (ended_s + backoffs[number].record_failure(random_source.random()), number))
    return answered_s


def test_polls_overload_discovery_if_each_proxy_assumes_that_it_is_the_only_one() -> None:
    """The overload that the shared window prevents: 40 proxies poll as if alone, and abandon queued requests.

    test_notification_delay.py shows that proxies that know their number recover soon.
    """
    assert len(recovery_times_s(1, PROXY_COUNT / 8, 1)) < PROXY_COUNT / 2


def test_few_proxies_poll_again_soon() -> None:
    backoff = PollBackoff(MAX_UNJITTERED_PROXIES)
    assert backoff.initial_delay_s(1.0) == 0
    delays_s = [backoff.record_failure(1.0) for _ in range(100)]
    assert delays_s[:4] == [BASE_BACKOFF_S, 2 * BASE_BACKOFF_S, 4 * BASE_BACKOFF_S, 8 * BASE_BACKOFF_S]
    assert set(delays_s[4:]) == {MAX_BACKOFF_S}
    backoff.reset()
    assert backoff.record_failure(1.0) == BASE_BACKOFF_S


def test_restarted_proxy_of_many_polls_after_a_random_delay() -> None:
    async def scenario() -> None:
        async def script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(5, [])))
            await asyncio.Event().wait()

        watch = DiscoveryServer(script)
        updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        tasks = []
        proxy_count, draw = MAX_UNJITTERED_PROXIES + 5, 0.1
        discovery = EndpointDiscovery(
            await watch.start(),
            EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
            4,
            updates.put_nowait,
            lambda coroutine: tasks.append(asyncio.create_task(coroutine)),
            lambda: PollBackoff(proxy_count),
            lambda: draw,
        )
        started_s = time.monotonic()
        discovery.start()
        await updates.get()
        assert time.monotonic() - started_s >= 0.9 * 5 * POLL_COST_S * draw
        tasks[0].cancel()

    run(scenario())


POLL_WITHIN_S = 10.0


def test_local_agent_is_polled_immediately_for_any_number_of_proxies() -> None:
    """A proxy has to know what its agent knows.

    With a delay, 148 of 212 killed and restarted proxies sent requests to drained backends meanwhile.
    """

    async def scenario() -> None:
        settings = replace(
            CONFIG.settings, proxy_count=200, must_poll_endpoints=False, poll_within_us=10_000_000
        )
        proxy = Proxy(replace(CONFIG, settings=settings))
        try:
            backoff = proxy.discovery.current.backoff
            assert backoff.initial_delay_s(1.0) == 0
            assert backoff.record_failure(1.0) == BASE_BACKOFF_S
            assert (
                max(backoff.record_failure(1.0) for _ in range(100))
                == MAX_LOCAL_DISCOVERY_BACKOFF_S
                < MAX_BACKOFF_S
            )
        finally:
            proxy.close()

    run(scenario())


def test_many_proxies_that_must_poll_do_so_before_they_have_to_know_a_change() -> None:
    """Also after failed polls: a change has to be known 6 s after discovery became reachable, even where the
    settings allow more time."""
    settings = replace(CONFIG.settings, proxy_count=200, must_poll_endpoints=True, poll_within_us=10_000_000)
    backoff = PollBackoff.from_settings(settings)
    assert 0 < backoff.initial_delay_s(1.0) < POLL_WITHIN_S
    assert backoff.record_failure(1.0) < POLL_WITHIN_S
    assert max(backoff.record_failure(1.0) for _ in range(100)) <= POLL_INTERVAL_LIMIT_S < 6.0
