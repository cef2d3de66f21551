"""A test bed that runs late: it blames no front door that was in time, and still finds a defective one."""

import asyncio
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from random import Random

import pytest
import uvloop

from rig import door_pool
from rig import scenario as sc
from rig.audit.ledger import Outcome, Rule
from rig.clients import LATE_ANSWER_US, Clients
from rig.door_pool import DoorPool
from rig.doors import FRONT_DOOR
from rig.facts import Answered, Asked, Effect, Fact, Left
from rig.final_poll import LateCounts, wait_and_poll
from rig.front import ClientRouter
from rig.workload import PLANS, Arrival, ClassSpec, Customer
from rig.world.report import Report
from rig.world.world import World

TIMEOUT_S = 120
STALL_S = 1.3  # longer than a client waits for a connection
STALL_INTERVAL_S = 2.0
SCENARIO = """
name = "stalled"
title = "The test bed itself stalls"
seconds = 6.0
[load]
greedy = 0.0
impatient = 0.2
"""


@contextmanager
def listening() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


def run(job: Callable[[], "asyncio._CoroutineLike[None]"]) -> None:
    async def job_with_time_limit() -> None:
        async with asyncio.timeout(30):
            await job()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(job_with_time_limit())


def stall_in_io_callback(stall_s: float) -> None:
    """Block the event loop while it handles its sockets: the timers that expire run before its next poll."""
    loop = asyncio.get_running_loop()
    reader, writer = socket.socketpair()

    def block() -> None:
        loop.remove_reader(reader)
        time.sleep(stall_s)
        reader.close()
        writer.close()

    loop.add_reader(reader, block)
    writer.send(b"x")


def test_connection_established_during_a_stall_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """The timer of the connect runs before the event loop reads that it is established."""
    monkeypatch.setattr(door_pool, "CONNECT_TIMEOUT_S", 0.05)
    create = door_pool.ClientConnection.__init__

    def create_slowly(self: door_pool.ClientConnection, door: str, facts: list[Fact]) -> None:
        create(self, door, facts)
        time.sleep(0.2)  # just before the connect is started

    monkeypatch.setattr(door_pool.ClientConnection, "__init__", create_slowly)

    async def job() -> None:
        with listening() as listener:
            late_counts = LateCounts()
            pool = DoorPool("n0", listener.getsockname(), [], late_counts)
            connection = await pool.acquire()
            assert not connection.ended and late_counts.connects == 1
            pool.close()

    run(job)


def test_connection_that_is_not_taken_in_time_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(door_pool, "CONNECT_TIMEOUT_S", 0.1)

    async def job() -> None:
        with listening() as listener:
            listener.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            pool = DoorPool("n0", listener.getsockname(), [], LateCounts())
            with pytest.raises(TimeoutError):
                await pool.acquire()
            assert pool.late_counts.connects == 0
            for filler in fillers:
                filler.close()

    run(job)


DEADLINE_US = 200_000
LATE_ANSWER_S = LATE_ANSWER_US / 1e6
TIMER_RESOLUTION_US = 1_000  # of uvloop, whose timers may run early by as much


def serve_one(listener: socket.socket, delay_s: float | None) -> None:
    """Serve one connection: answer its request after a delay, or never, until the client has left."""
    accepted, _ = listener.accept()
    with accepted:
        accepted.recv(1 << 16)
        if delay_s is not None:
            time.sleep(delay_s)
            accepted.sendall(b"$2\r\nok\r\n")
        with suppress(OSError):
            accepted.recv(1 << 16)


def exchange_with_stall(abandon_fraction: float, stall_s: float, answer_delay_s: float | None) -> list[Fact]:
    """The facts about one request, with the event loop stalled once the request is written."""
    facts: list[Fact] = []
    request_class = ClassSpec("read", Effect.SAFE, 1.0, 1.0, DEADLINE_US, DEADLINE_US, 1.0)
    customer = Customer("0" * 16, PLANS[0], 0, (1.0,), 1.0)
    arrival = Arrival(0, customer, request_class, 1.0, abandon_fraction, 0.5)

    async def job() -> None:
        with listening() as listener:
            server = threading.Thread(target=serve_one, args=(listener, answer_delay_s))
            server.start()
            late_counts = LateCounts()
            pool = DoorPool("n0", listener.getsockname(), facts, late_counts)
            clients = Clients([pool], ClientRouter(1, 0), facts, Random(1), 1, late_counts)
            request = clients.make_request(arrival, "", 0, DEADLINE_US)
            exchange = asyncio.create_task(clients.exchange(arrival, request, pool))
            while not facts:  # the request is not written yet
                await asyncio.sleep(0)
            stall_in_io_callback(stall_s)
            await exchange
            pool.close()
            await asyncio.get_running_loop().run_in_executor(None, server.join)

    run(job)
    return facts


@pytest.mark.parametrize(
    ("abandon_fraction", "stall_s"), [(0.2, 0.15), (1.0, DEADLINE_US / 1e6 + LATE_ANSWER_S + 0.2)]
)
def test_reply_received_during_a_stall_is_read(abandon_fraction: float, stall_s: float) -> None:
    """The client's timer runs before the event loop reads the reply, which was there in time."""
    facts = exchange_with_stall(abandon_fraction, stall_s, 0.02)
    assert [type(fact) for fact in facts] == [Asked, Answered]


def test_client_that_missed_its_departure_waits_as_one_that_never_meant_to_leave() -> None:
    """It was to leave before its deadline, so the front door owed an answer when the stall ended after it."""
    facts = exchange_with_stall(0.2, 0.3, 0.5)
    assert [type(fact) for fact in facts] == [Asked, Answered]


@pytest.mark.parametrize("abandon_fraction", [0.2, 1.0])
def test_request_that_is_never_answered_is_left_after_the_deadline(abandon_fraction: float) -> None:
    asked, left = exchange_with_stall(abandon_fraction, 0.3, None)
    assert isinstance(asked, Asked) and isinstance(left, Left)
    assert left.at_us >= asked.until_us + LATE_ANSWER_US - TIMER_RESOLUTION_US


# --- whole runs ---


def run_with_stalls(*command: str) -> Report:
    """Run the scenario on a test bed whose event loop stalls again and again while the load runs."""
    world = World(sc.decode(SCENARIO), 1, command or FRONT_DOOR)

    def stall() -> None:
        stall_in_io_callback(STALL_S)
        asyncio.get_running_loop().call_later(STALL_INTERVAL_S, stall)

    async def play() -> Report:
        return await asyncio.wait_for(world.run(stall), TIMEOUT_S)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play())


def test_late_test_bed_loses_no_request_of_a_front_door_that_is_in_order() -> None:
    """The stalls are longer than clients wait, so that each used to count many requests as lost."""
    report = run_with_stalls()
    assert report.ledger.late_us > STALL_S * 1e6 / 2 and not report.ledger.times_judged
    assert report.late_counts.connects + report.late_counts.replies > 0
    assert not report.ledger.unaccounted and not report.ledger.broken and not report.trouble, report.json()
    assert report.ledger.counts[Outcome.SERVED] > 100


@pytest.mark.parametrize(
    ("mode", "text"),
    [("drop", "taken and never answered"), ("deaf", "not taken by a front door that is up")],
)
def test_late_test_bed_still_finds_a_defective_front_door(mode: str, text: str) -> None:
    report = run_with_stalls(sys.executable, "-m", "rig.broken", mode)
    assert not report.ledger.times_judged and not report.trouble
    assert any(violation.rule is Rule.LOST and text in violation.text for violation in report.ledger.broken)
    assert report.ledger.unaccounted > 0


def test_client_that_is_cancelled_leaves_no_exception_behind() -> None:
    """An interrupted run printed a line for each client that was still waiting."""
    problems: list[dict[str, object]] = []

    async def job() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: problems.append(context))
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        waiting = asyncio.create_task(wait_and_poll(future, 10.0))
        await asyncio.sleep(0)
        waiting.cancel()
        with suppress(asyncio.CancelledError):
            await waiting
        assert future.cancelled()

    run(job)
    assert not problems
