"""The front door over loopback sockets: a request from client to backend and back."""

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


def test_value_goes_through_byte_for_byte() -> None:
    async def job() -> None:
        body = bytes(range(256)) * 256  # 64 KiB, with line ends and nulls in it
        backend = Backend(lambda words: value(body))
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert await client.ask(submit("a1", body=body)) == body
            assert backend.commands[0][4] == body

    run(job())


def test_only_the_time_is_rewritten() -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            fields = "c=settle,r=1,kd=7,d=3000,t=team,k=5c0f,new=1,units=2,spread=2,first=1"
            assert await client.ask(resp("SVC.SUBMIT", CUSTOMER, "a1", fields, "B")) == b"ok"
            name, customer, request_id, sent, body = backend.commands[0]
            assert (name, customer, request_id, body) == (b"SVC.SUBMIT", CUSTOMER.encode(), b"a1", b"B")
            head, _, tail = fields.partition("d=3000")
            assert sent.startswith(head.encode()) and sent.endswith(tail.encode())
            assert 2000 < int(sent.decode().removeprefix(head).removesuffix(tail)[2:]) < 3000

    run(job())


def test_backends_refusal_never_passes_through() -> None:
    async def job() -> None:
        backend = Backend(lambda words: b"-BUSY 123456\r\n")
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert await client.ask(submit("a1")) == "-BUSY 750"
            assert len(backend.commands) == SETTINGS.max_attempts  # it is known that none of them ran

    run(job())


ODD_ANSWERS = [b"-ERR failed util=0.5\r\n", b"-ODD\r\n", b"", b"$-1\r\n", b"+OK\r\n", b"?"]


@pytest.mark.parametrize("answer", ODD_ANSWERS)
def test_unsafe_request_that_may_have_run_is_sent_once(answer: bytes) -> None:
    async def job() -> None:
        backend = Backend(lambda words: answer)
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert await client.ask(submit("a1")) == "-ERR failed"
            assert len(backend.commands) == 1

    run(job())


def test_unsafe_request_goes_on_where_nobody_listens() -> None:
    async def job() -> None:
        backend = Backend()
        dead = [refusing_address() for _ in range(6)]
        async with front_door(backend, addresses=dead, settings=replace(SETTINGS, max_attempts=9)) as (_, at):
            client = await Client.open(at)
            assert await client.ask(submit("a1")) == b"ok"

    run(job())


def test_answer_comes_before_the_clients_time_and_only_once() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            client = await Client.open(address)
            started = time.monotonic()
            client.send(submit("a1", wait_ms=300))
            assert await client.answer() == "-ERR failed"
            assert time.monotonic() - started < 0.3
            await backend.left.wait()  # the attempt was given up by closing its connection
            assert await client.ask(resp("PING")) == b"PONG"  # nothing else came in between
            assert not door.requests.open and not door.requests.answered and door.requests.open_bytes == 0

    run(job())


def test_client_that_leaves_ends_its_attempt() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.came.wait()
            client.writer.close()
            await backend.left.wait()
            assert not door.requests.open and not door.gateway.attempts.pending

    run(job())


def test_same_id_twice_is_an_error_and_the_first_goes_on() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (_, address):
            client, other = await Client.open(address), await Client.open(address)
            client.send(query("a1"))
            await backend.came.wait()
            assert await other.ask(query("a1")) == "-ERR this id is in use"
            backend.writers[0].write(value(b"late"))
            assert await client.answer() == b"late"

    run(job())


def test_exception_of_the_module_fails_its_request_only(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            handle = door.gateway.handle

            def broken(now: int, event: Event) -> list[Action]:
                if isinstance(event, RequestReceived) and event.request_id == "bad":
                    raise RuntimeError("a fault of the module")
                return handle(now, event)

            door.gateway.handle = broken
            client = await Client.open(address)
            assert await client.ask(query("bad")) == "-ERR failed"
            assert await client.ask(query("good")) == b"ok"

    with caplog.at_level(logging.ERROR):
        run(job())
    assert "a fault of the module" in caplog.text and "Traceback" in caplog.text


def test_request_that_the_module_forgets_fails_in_time(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.gateway.handle = lambda now, event: []
            client = await Client.open(address)
            assert await client.ask(query("a1", wait_ms=200)) == "-ERR failed"

    run(job())
    assert "left without an answer" in caplog.text


def test_attempt_for_a_request_that_is_over_is_moot() -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            client = await Client.open(address)
            assert await client.ask(query("a1")) == b"ok"
            seen: list[Event] = []
            door.gateway.handle = lambda now, event: seen.append(event) or []
            door.actions.forward(ForwardAttempt("a1", "s0"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert [event.result for event in seen if isinstance(event, AttemptEnded)] == [
                AttemptResult.NOT_SENT
            ]
            assert len(backend.commands) == 1

    run(job())


def test_timers_are_never_early_and_events_of_a_moment_share_one_time() -> None:
    """uvloop rounds to milliseconds; an early tick is passed over by the module, which then sets no other."""

    async def job() -> None:
        door = Proxy(CONFIG)
        rung: dict[int, int] = {}
        done = asyncio.Event()

        def handle(now: int, event: Event) -> list[Action]:
            if isinstance(event, TimerExpired):
                rung[event.token] = now
                if len(rung) == len(due):
                    done.set()
            else:
                moments.append(now)
            return []

        moments: list[int] = []
        door.gateway.handle = handle
        due = {}
        for token in range(40):
            delay = 5_000 + 37 * token
            due[token] = time.monotonic_ns() // 1000 + delay
            door.driver.set_timer(SetTimer(delay, token))
        for number in range(5):
            door.driver.post(ClientDisconnected(str(number)))
        await done.wait()
        assert all(rung[token] >= due[token] for token in due)
        assert len(moments) == 5 and len(set(moments)) == 1

    run(job())


def test_drain_serves_what_still_comes_and_answers_all() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None if words[2] == b"slow" else value(b"ok"))
        async with front_door(backend) as (door, address):
            idle, busy = await Client.open(address), await Client.open(address)
            assert await idle.ask(resp("PING")) == b"PONG"
            busy.send(query("slow"))
            await backend.came.wait()
            draining = asyncio.create_task(door.drain())
            await asyncio.sleep(0)
            late = await Client.open(address)
            assert await late.ask(query("new")) == b"ok"
            assert await idle.ask(query("kept")) == b"ok"
            backend.writers[0].write(value(b"at last"))
            assert await busy.answer() == b"at last"
            assert await idle.ended() and await late.ended() and await busy.ended()  # between requests
            await draining

    run(job())


def test_drain_serves_clients_that_go_on_asking_while_there_is_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Until an answer might come too late: then connections are closed, and what hangs is answered before."""
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_US", 1_000_000)

    async def job() -> None:
        backend = Backend(lambda words: None if words[2] == b"slow" else value(b"ok"))
        async with front_door(backend) as (door, address):
            asking, hanging = await Client.open(address), await Client.open(address)
            draining = asyncio.create_task(door.drain())
            await asyncio.sleep(0)
            hanging.send(query("slow"))
            served = 0
            while not door.clients.is_draining:
                served += await asking.ask(query(f"r{served}")) == b"ok"
            assert (
                door.shutdown and now_us() >= door.shutdown.accepts_until_us > door.shutdown.settled_at_us - 1
            )
            assert served > 10 and await asking.ended()
            assert await hanging.answer() not in (b"ok", None)
            assert now_us() <= door.shutdown.responses_due_at_us + 50_000
            await draining

    run(job())


@pytest.mark.parametrize(
    ("at_us", "asked_us", "left_us", "over"),
    [
        (0, (), 2_000_000, False),
        (599_999, (), 2_000_000, False),
        (1_100_000, (), 2_000_000, True),  # nobody asks
        (1_100_000, (1_000_000,), 2_000_000, False),
        (1_550_000, (1_000_000,), 1_950_000, True),
        (2_799_999, (2_700_000,), 700_001, False),
        (2_800_000, (2_750_000,), 700_000, True),
        (9_000_000, (), 1, True),
    ],
)
def test_ending_takes_requests_only_for_as_long_as_they_can_be_answered(
    at_us: int, asked_us: tuple[int, ...], left_us: int, over: bool
) -> None:
    told = 7_000_000
    end = graceful_shutdown.GracefulShutdown(
        told, (2_000_000, 5_000_000)
    )  # the longer counts for 3 s: killed at 3.7 s
    for each in asked_us:
        end.admit(told + each, 1)
    assert end.closes_idle(told + at_us) is over
    assert end.admit(told + at_us, 2_000_000) == left_us


def test_drain_waits_for_a_request_that_comes_at_last(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, "DISCONNECT_SETTLE_US", 0)
    monkeypatch.setattr(graceful_shutdown, "QUIET_PERIOD_US", 0)
    monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 0.1)

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            busy = await Client.open(address)
            busy.send(submit("a1"))
            await backend.came.wait()
            draining = asyncio.create_task(door.drain())
            while not door.clients.is_draining:
                await asyncio.sleep(0)
            client = await Client.open(address)
            backend.came.clear()
            client.send(submit("a2"))
            await backend.came.wait()
            backend.writers[0].write(value(b"first"))
            assert await busy.answer() == b"first"
            await asyncio.sleep(0.3)  # what is open is waited for, however long the rest may take
            assert not draining.done()
            backend.writers[1].write(value(b"at last"))
            assert await client.answer() == b"at last"
            await draining

    run(job())


def test_action_that_cannot_be_carried_out_fails_its_request_only(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            handle = door.gateway.handle

            def odd(now: int, event: Event) -> list[Action]:
                actions = handle(now, event)
                if isinstance(event, RequestReceived) and event.request_id == "bad":
                    return [ForwardAttempt("bad", "s0", timeout_us="soon"), *actions]
                return actions

            door.gateway.handle = odd
            client = await Client.open(address)
            assert await client.ask(query("bad")) == "-ERR failed"
            assert await client.ask(query("good")) == b"ok"

    run(job())
    assert "cannot carry out" in caplog.text


def test_own_view_is_that_of_the_sockets_after_all_kinds_of_ends() -> None:
    """Counts in flight, open requests, sockets: what is left behind would be held against a backend."""

    async def job() -> None:
        chance = random.Random(5)
        good, odd = value(b"ok"), b"*9\r\n"
        answers = [good, good, b"-BUSY\r\n", b"-ERR failed\r\n", b"", odd, good * 2, None]
        fleet = [Backend(lambda words: chance.choice(answers)) for _ in range(3)]
        async with front_door(*fleet, addresses=[refusing_address()]) as (door, address):
            clients = [await Client.open(address) for _ in range(20)]
            for number in range(200):
                ask = query if number % 3 else submit
                clients[number % 20].send(ask(f"a{number}", wait_ms=400))
            for client in clients[:5]:
                client.writer.close()  # with requests open
            for client in clients[5:]:
                for _ in range(10):
                    assert await client.answer() is not None
            view = door.gateway
            while door.requests.open or door.requests.answered or view.attempts.pending:
                await asyncio.sleep(0.01)
            assert view.attempts.in_flight == 0 and not any(
                server.in_flight for server in view.load_balancer.backends.values()
            )
            assert (
                not view.queue.entries and not view.admission.awaiting_owner and door.requests.open_bytes == 0
            )
            assert all(customer.in_flight == 0 for customer in view.customers.accounts.values())
            pools = door.backends.pools.values()
            while door.backends.open_connections > sum(len(pool.idle) for pool in pools):
                await asyncio.sleep(0.01)  # those that were aborted are let go of by the loop
            assert not any(pool.dial_count or pool.waiting for pool in pools)
            assert door.clients.socket_count == len(door.clients.connections) == 15

    run(job())
