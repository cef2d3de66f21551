"""The front door over loopback sockets: requests from clients to backends and their answers."""

import asyncio
import logging
import random
import time
from dataclasses import replace

import pytest

from molereach.clock import now_us
from molereach.policy.interface.actions import Action, ForwardAttempt, SetTimer
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestReceived,
    TimerExpired,
)
from molereach.proxy import connection_draining, graceful_shutdown
from molereach.proxy.proxy import Proxy
from tests.machine_delay import machine_delay
from tests.sockets import (
    CONFIG,
    CUSTOMER,
    SETTINGS,
    Backend,
    Client,
    front_door,
    query,
    refusing_address,
    resp,
    run,
    submit,
    value,
)


def test_value_is_forwarded_unchanged_in_both_directions() -> None:
    async def job() -> None:
        body = bytes(range(256)) * 256  # 64 KiB, with line ends and null bytes
        backend = Backend(lambda words: value(body))
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert await client.ask(submit("a1", body=body)) == body
            assert backend.commands[0][4] == body

    run(job())


def test_only_the_remaining_time_of_a_command_is_rewritten() -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            fields = "c=settle,r=1,kd=7,d=3000,t=team,k=5c0f,new=1,units=2,spread=2,first=1"
            assert await client.ask(resp("SVC.SUBMIT", CUSTOMER, "a1", fields, "B")) == b"ok"
            name, customer, request_id, sent_fields, body = backend.commands[0]
            assert (name, customer, request_id, body) == (b"SVC.SUBMIT", CUSTOMER.encode(), b"a1", b"B")
            head, _, tail = fields.partition("d=3000")
            assert sent_fields.startswith(head.encode()) and sent_fields.endswith(tail.encode())
            assert 2000 < int(sent_fields.decode().removeprefix(head).removesuffix(tail)[2:]) < 3000

    run(job())


def test_rejection_by_a_backend_is_not_forwarded_to_the_client() -> None:
    async def job() -> None:
        backend = Backend(lambda words: b"-BUSY 123456\r\n")
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert await client.ask(submit("a1")) == "-BUSY 750"
            assert len(backend.commands) == SETTINGS.max_attempts  # rejected attempts were not executed

    run(job())


ANSWERS_WITHOUT_VALUE = [b"-ERR failed util=0.5\r\n", b"-ODD\r\n", b"", b"$-1\r\n", b"+OK\r\n", b"?"]


@pytest.mark.parametrize("answer", ANSWERS_WITHOUT_VALUE)
def test_non_idempotent_request_that_may_have_been_executed_is_sent_once(answer: bytes) -> None:
    async def job() -> None:
        backend = Backend(lambda words: answer)
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert await client.ask(submit("a1")) == "-ERR failed"
            assert len(backend.commands) == 1

    run(job())


def test_non_idempotent_request_is_retried_when_connections_are_refused() -> None:
    async def job() -> None:
        backend = Backend()
        refusing = [refusing_address() for _ in range(6)]
        async with front_door(backend, addresses=refusing, settings=replace(SETTINGS, max_attempts=9)) as (
            _,
            address,
        ):
            client = await Client.open(address)
            assert await client.ask(submit("a1")) == b"ok"

    run(job())


def test_client_is_answered_before_its_deadline_and_only_once() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address), machine_delay() as delay:
            client = await Client.open(address)
            started_us = delay.running_us()
            client.send(submit("a1", wait_ms=300))
            assert await client.answer() == "-ERR failed"
            assert delay.running_us() - started_us < 300_000
            await backend.disconnected.wait()  # the attempt was cancelled by closing its connection
            assert await client.ask(resp("PING")) == b"PONG"  # no second answer came first
            assert not proxy.requests.open and not proxy.requests.answered and proxy.requests.open_bytes == 0

    run(job())


def test_attempt_of_a_client_that_disconnects_is_cancelled() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.command_received.wait()
            client.writer.close()
            await backend.disconnected.wait()
            assert not proxy.requests.open and not proxy.gateway.attempts.pending

    run(job())


def test_request_with_an_id_in_use_is_an_error_and_does_not_affect_the_first() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (_, address):
            client, other_client = await Client.open(address), await Client.open(address)
            client.send(query("a1"))
            await backend.command_received.wait()
            assert await other_client.ask(query("a1")) == "-ERR this id is in use"
            backend.writers[0].write(value(b"late"))
            assert await client.answer() == b"late"

    run(job())


def test_exception_in_the_policy_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            handle = proxy.gateway.handle

            def handle_or_raise(now_us: int, event: Event) -> list[Action]:
                if isinstance(event, RequestReceived) and event.request_id == "bad":
                    raise RuntimeError("an error in the policy")
                return handle(now_us, event)

            proxy.gateway.handle = handle_or_raise
            client = await Client.open(address)
            assert await client.ask(query("bad")) == "-ERR failed"
            assert await client.ask(query("good")) == b"ok"

    with caplog.at_level(logging.ERROR):
        run(job())
    assert "an error in the policy" in caplog.text and "Traceback" in caplog.text


def test_request_that_the_policy_leaves_unanswered_fails_in_time(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.gateway.handle = lambda now_us, event: []
            client = await Client.open(address)
            assert await client.ask(query("a1", wait_ms=200)) == "-ERR failed"

    run(job())
    assert "left without an answer" in caplog.text


def test_attempt_for_a_closed_request_is_not_sent() -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            client = await Client.open(address)
            assert await client.ask(query("a1")) == b"ok"
            events: list[Event] = []
            proxy.gateway.handle = lambda now_us, event: events.append(event) or []
            proxy.actions.forward(ForwardAttempt("a1", "s0"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert [event.result for event in events if isinstance(event, AttemptEnded)] == [
                AttemptResult.NOT_SENT
            ]
            assert len(backend.commands) == 1

    run(job())


def test_timers_are_never_early_and_events_of_a_batch_have_the_same_time() -> None:
    """uvloop rounds to milliseconds. The policy ignores an early timer event and then sets no other timer."""

    async def job() -> None:
        proxy = Proxy(CONFIG)
        expired_at_us: dict[int, int] = {}
        all_expired = asyncio.Event()

        def handle(now_us: int, event: Event) -> list[Action]:
            if isinstance(event, TimerExpired):
                expired_at_us[event.token] = now_us
                if len(expired_at_us) == len(due_at_us):
                    all_expired.set()
            else:
                batch_times_us.append(now_us)
            return []

        batch_times_us: list[int] = []
        proxy.gateway.handle = handle
        due_at_us = {}
        for token in range(40):
            delay_us = 5_000 + 37 * token
            due_at_us[token] = time.monotonic_ns() // 1000 + delay_us
            proxy.driver.set_timer(SetTimer(delay_us, token))
        for number in range(5):
            proxy.driver.post(ClientDisconnected(str(number)))
        await all_expired.wait()
        assert all(expired_at_us[token] >= due_at_us[token] for token in due_at_us)
        assert len(batch_times_us) == 5 and len(set(batch_times_us)) == 1

    run(job())


def test_drain_serves_new_requests_and_answers_all_open_ones() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None if words[2] == b"slow" else value(b"ok"))
        async with front_door(backend) as (proxy, address):
            idle_client, waiting_client = await Client.open(address), await Client.open(address)
            assert await idle_client.ask(resp("PING")) == b"PONG"
            waiting_client.send(query("slow"))
            await backend.command_received.wait()
            draining = asyncio.create_task(proxy.drain())
            await asyncio.sleep(0)
            late_client = await Client.open(address)
            assert await late_client.ask(query("new")) == b"ok"
            assert await idle_client.ask(query("kept")) == b"ok"
            backend.writers[0].write(value(b"at last"))
            assert await waiting_client.answer() == b"at last"
            # Connections are closed only between requests.
            assert await idle_client.ended() and await late_client.ended() and await waiting_client.ended()
            await draining

    run(job())


def test_drain_serves_clients_that_keep_sending_while_there_is_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections are closed once an answer might come too late; open requests are answered before that."""
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_US", 1_000_000)

    async def job() -> None:
        backend = Backend(lambda words: None if words[2] == b"slow" else value(b"ok"))
        async with front_door(backend) as (proxy, address), machine_delay() as delay:
            sending_client, waiting_client = await Client.open(address), await Client.open(address)
            draining = asyncio.create_task(proxy.drain())
            await asyncio.sleep(0)
            waiting_client.send(query("slow"))
            served_count = 0
            while not proxy.clients.is_draining:
                served_count += await sending_client.ask(query(f"r{served_count}")) == b"ok"
            assert (
                proxy.shutdown
                and now_us() >= proxy.shutdown.accepts_until_us > proxy.shutdown.settled_at_us - 1
            )
            assert served_count > 10 and await sending_client.ended()
            assert await waiting_client.answer() not in (b"ok", None)
            assert delay.running_us() <= proxy.shutdown.responses_due_at_us + 50_000
            await draining

    run(job())


@pytest.mark.parametrize(
    ("at_us", "requests_at_us", "allowed_us", "closes_idle"),
    [
        (0, (), 2_000_000, False),
        (599_999, (), 2_000_000, False),
        (1_100_000, (), 2_000_000, True),  # no requests
        (1_100_000, (1_000_000,), 2_000_000, False),
        (1_550_000, (1_000_000,), 1_950_000, True),
        (2_799_999, (2_700_000,), 700_001, False),
        (2_800_000, (2_750_000,), 700_000, True),
        (9_000_000, (), 1, True),
    ],
)
def test_shutdown_accepts_requests_only_as_long_as_they_can_be_answered(
    at_us: int, requests_at_us: tuple[int, ...], allowed_us: int, closes_idle: bool
) -> None:
    notified_at_us = 7_000_000
    # The longer deadline counts as 3 s, so the kill is expected after 3.7 s.
    shutdown = graceful_shutdown.GracefulShutdown(notified_at_us, (2_000_000, 5_000_000))
    for request_at_us in requests_at_us:
        shutdown.admit(notified_at_us + request_at_us, 1)
    assert shutdown.closes_idle(notified_at_us + at_us) is closes_idle
    assert shutdown.admit(notified_at_us + at_us, 2_000_000) == allowed_us


def test_drain_waits_for_a_request_that_arrives_last(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, "DISCONNECT_SETTLE_US", 0)
    monkeypatch.setattr(graceful_shutdown, "QUIET_PERIOD_US", 0)
    monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 0.1)

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            first_client = await Client.open(address)
            first_client.send(submit("a1"))
            await backend.command_received.wait()
            draining = asyncio.create_task(proxy.drain())
            while not proxy.clients.is_draining:
                await asyncio.sleep(0)
            last_client = await Client.open(address)
            backend.command_received.clear()
            last_client.send(submit("a2"))
            await backend.command_received.wait()
            backend.writers[0].write(value(b"first"))
            assert await first_client.answer() == b"first"
            await asyncio.sleep(0.3)  # longer than FINAL_WRITE_TIMEOUT_S: open requests are waited for
            assert not draining.done()
            backend.writers[1].write(value(b"at last"))
            assert await last_client.answer() == b"at last"
            await draining

    run(job())


def test_action_that_cannot_be_executed_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            handle = proxy.gateway.handle

            def handle_with_invalid_action(now_us: int, event: Event) -> list[Action]:
                actions = handle(now_us, event)
                if isinstance(event, RequestReceived) and event.request_id == "bad":
                    return [ForwardAttempt("bad", "s0", timeout_us="soon"), *actions]
                return actions

            proxy.gateway.handle = handle_with_invalid_action
            client = await Client.open(address)
            assert await client.ask(query("bad")) == "-ERR failed"
            assert await client.ask(query("good")) == b"ok"

    run(job())
    assert "cannot carry out" in caplog.text


def test_counters_match_the_sockets_after_attempts_have_ended_in_all_ways() -> None:
    """Attempts in flight, open requests, sockets: leftover counts would make a backend seem loaded."""

    async def job() -> None:
        rng = random.Random(5)
        valid, malformed = value(b"ok"), b"*9\r\n"
        answers = [valid, valid, b"-BUSY\r\n", b"-ERR failed\r\n", b"", malformed, valid * 2, None]
        backends = [Backend(lambda words: rng.choice(answers)) for _ in range(3)]
        async with front_door(*backends, addresses=[refusing_address()]) as (proxy, address):
            clients = [await Client.open(address) for _ in range(20)]
            for number in range(200):
                command = query if number % 3 else submit
                clients[number % 20].send(command(f"a{number}", wait_ms=400))
            for client in clients[:5]:
                client.writer.close()  # with requests open
            for client in clients[5:]:
                for _ in range(10):
                    assert await client.answer() is not None
            gateway = proxy.gateway
            while proxy.requests.open or proxy.requests.answered or gateway.attempts.pending:
                await asyncio.sleep(0.01)
            assert gateway.attempts.in_flight == 0 and not any(
                backend.in_flight for backend in gateway.load_balancer.backends.values()
            )
            assert (
                not gateway.queue.entries
                and not gateway.admission.awaiting_owner
                and proxy.requests.open_bytes == 0
            )
            assert all(account.in_flight == 0 for account in gateway.customers.accounts.values())
            pools = proxy.backends.pools.values()
            while proxy.backends.open_connections > sum(len(pool.idle) for pool in pools):
                await asyncio.sleep(0.01)  # until the loop has closed the aborted connections
            assert not any(pool.dial_count or pool.waiting for pool in pools)
            assert proxy.clients.socket_count == len(proxy.clients.connections) == 15

    run(job())
