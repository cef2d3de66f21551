"""Clients on sockets: open-loop arrivals, retries and early departures."""

import asyncio
from dataclasses import dataclass
from random import Random

import hiredis

from rig.clock import now_us
from rig.door_pool import ClientConnection, DoorPool, LostError
from rig.facts import Answered, Asked, Ended, Fact, Kind, Left
from rig.final_poll import LateCounts, wait_and_poll
from rig.front import ClientRouter
from rig.workload import Arrival, work_us

MAX_TRIES = 4
LATE_ANSWER_US = 600_000  # for which clients listen after their timeout, to observe late answers
RETRY_DELAY_MS = (50, 250)


@dataclass(slots=True)
class ClientRequest:
    """One try of a request: its command, work, front door and timeout."""

    id: str
    words: list[bytes]
    work_us: int
    key: str
    door: int
    timeout_us: int


def encode(words: list[bytes]) -> bytes:
    """A command in RESP."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def retry_after_us(text: str) -> int:
    """The delay in `BUSY MILLISECONDS`, as microseconds; 0 without one."""
    word = text.partition(" ")[2]
    return int(word) * 1000 if word.isdigit() else 0


class Clients:
    """All clients of a run."""

    def __init__(
        self,
        pools: list[DoorPool],
        router: ClientRouter,
        facts: list[Fact],
        random: Random,
        seed: int,
        late_counts: LateCounts,
    ) -> None:
        self.pools, self.router, self.facts, self.random = pools, router, facts, random
        self.late_counts = late_counts
        self.seed, self.serial = seed, 0
        self.requests: dict[str, ClientRequest] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.sends_no_more = False
        self.trouble: list[str] = []  # faults of the test bed itself

    def work_of(self, request_id: str) -> tuple[int, str, list[bytes]] | None:
        """What a server needs to know of a request that a client sent: its work, key and command words."""
        request = self.requests.get(request_id)
        return (request.work_us, request.key, request.words) if request else None

    async def run(self, arrivals: list[Arrival], start_us: int) -> None:
        """Send each request at its time until `stop`, and wait until all have ended."""
        for arrival in arrivals:
            delay_us = start_us + arrival.at_us - now_us()
            if delay_us > 0:
                await asyncio.sleep(delay_us / 1e6)
            if self.sends_no_more:
                break
            task = asyncio.get_running_loop().create_task(self.run_client(arrival))
            self.tasks[task] = None
            task.add_done_callback(self.on_done)
        while self.tasks:
            await asyncio.wait(self.tasks)

    def stop(self) -> None:
        """Send no further first tries; requests in progress and their retries go on."""
        self.sends_no_more = True

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Forget a finished client and record its exception, if it raised one."""
        self.tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()):
            self.trouble.append(f"{type(error).__name__}: {error}")

    # --- one client ---

    async def run_client(self, arrival: Arrival) -> None:
        """Send a request, and retry it within the deadline of its class."""
        start_us = now_us()
        key = f"{self.random.getrandbits(64):016x}" if arrival.request_class.effect.name == "KEYED" else ""
        for number in range(MAX_TRIES):
            left_us = arrival.request_class.deadline_us - (now_us() - start_us)
            if number and left_us <= arrival.request_class.on_time_us // 4:
                return
            request = self.make_request(arrival, key, number, left_us)
            retry_delay_us = await self.send(arrival, request)
            if retry_delay_us is None:
                return
            await asyncio.sleep(max(retry_delay_us, self.random.randint(*RETRY_DELAY_MS) * 1000) / 1e6)

    def make_request(self, arrival: Arrival, key: str, number: int, left_us: int) -> ClientRequest:
        """Choose the front door and build the command of one try."""
        self.serial += 1
        request_id = f"{self.seed & 0xFFFFFFFF:08x}{self.serial:08x}"
        customer, request_class = arrival.customer, arrival.request_class
        draw = arrival.draw if number == 0 else self.random.random()
        door = self.router.choose(
            now_us(), customer.first_door, len(customer.weights), customer.weights, draw
        )
        timeout_us = min(round(request_class.deadline_us * arrival.timeout_fraction), left_us)
        fields = [f"c={request_class.name}", f"t={customer.plan.name}", f"d={timeout_us // 1000}"]
        fields += [f"k={key}"] if key else []
        fields += ["units=1", f"spread={len(customer.weights)}", f"first={customer.first_door}"]
        fields += ["r=1"] if number else []
        words = [
            b"SVC.SUBMIT" if request_class.is_write else b"SVC.QUERY",
            customer.name.encode(),
            request_id.encode(),
            ",".join(fields).encode(),
        ]
        words += [b"BODY"] if request_class.is_write else []
        request = ClientRequest(request_id, words, work_us(request_class, self.random), key, door, timeout_us)
        self.requests[request_id] = request
        return request

    async def send(self, arrival: Arrival, request: ClientRequest) -> int | None:
        """One try; returns the least delay before the next in microseconds, or None for no further try."""
        pool = self.pools[request.door]
        pool.counts.open += 1
        try:
            return await self.exchange(arrival, request, pool)
        finally:
            pool.counts.open -= 1

    async def exchange(self, arrival: Arrival, request: ClientRequest, pool: DoorPool) -> int | None:
        """One try on a connection, sent again once if a reused connection was closed meanwhile."""
        fresh = False
        while True:
            try:
                connection = await pool.acquire(fresh)
            except (OSError, TimeoutError, LostError):
                self.record_request(arrival, request, pool, taken=False)
                self.facts.append(Ended(now_us(), request.id, pool.name))
                self.router.mark_failed(now_us(), request.door)
                pool.counts.lost += 1
                return 0
            pending_reply = connection.ask(encode(request.words))
            asked_us = self.record_request(arrival, request, pool)
            try:
                if not await self.wait_for_reply(arrival, request, pending_reply, asked_us):
                    pending_reply.cancel()
                    connection.departed = True  # an answer that arrives meanwhile is no fault
                    self.facts.append(Left(now_us(), request.id, pool.name))
                    pool.drop(connection)
                    return None
                reply = pending_reply.result()
            except LostError:
                pool.drop(connection)
                # A front door may close an idle connection while a request is on its way and unread. The
                # client then sends it once more on a new connection.
                resend = connection.used and not fresh
                self.facts.append(Ended(now_us(), request.id, pool.name, resend))
                if resend:
                    fresh = True
                    continue
                self.router.mark_failed(now_us(), request.door)
                pool.counts.lost += 1
                return None if arrival.request_class.effect.name == "UNSAFE" else 0
            return self.record_answer(arrival, request, pool, connection, reply, asked_us)

    async def wait_for_reply(
        self,
        arrival: Arrival,
        request: ClientRequest,
        pending_reply: "asyncio.Future[object]",
        asked_us: int,
    ) -> bool:
        """Wait for a reply or the end of the connection; returns False if the client stops waiting before.

        A client that was to leave before its deadline, and could not because the test bed was late, is owed
        an answer by then: it goes on waiting like one that never meant to leave.
        """
        deadline_us = asked_us + request.timeout_us
        if arrival.abandon_fraction < 1:
            leave_us = asked_us + round(request.timeout_us * arrival.abandon_fraction)
            if await self.reply_by(leave_us, pending_reply):
                return True
            if now_us() <= deadline_us:
                return False
            self.late_counts.departures += 1
        return await self.reply_by(deadline_us + LATE_ANSWER_US, pending_reply)

    async def reply_by(self, until_us: int, pending_reply: "asyncio.Future[object]") -> bool:
        """Wait for a reply until a time; returns whether it has come, or the connection has ended."""
        if not await wait_and_poll(pending_reply, max(0, until_us - now_us()) / 1e6):
            self.late_counts.replies += pending_reply.done()
        return pending_reply.done()

    def record_request(
        self, arrival: Arrival, request: ClientRequest, pool: DoorPool, taken: bool = True
    ) -> int:
        """Record that a request was sent, or could not be; returns the time."""
        asked_us, request_class, customer = now_us(), arrival.request_class, arrival.customer
        self.facts.append(
            Asked(
                asked_us,
                request.id,
                pool.name,
                customer.name,
                request_class.effect,
                request_class.group,
                request_class.window_us,
                customer.plan.name,
                1.0,
                asked_us + request.timeout_us,
                request.key,
                taken,
            )
        )
        return asked_us

    def record_answer(
        self,
        arrival: Arrival,
        request: ClientRequest,
        pool: DoorPool,
        connection: ClientConnection,
        reply: object,
        asked_us: int,
    ) -> int | None:
        """Record an answer; returns the least delay before another try, or None for no further try."""
        answered_us = now_us()
        pool.release(connection)
        pool.latencies_us.append(answered_us - asked_us)
        first = reply[0] if isinstance(reply, list) and reply else reply
        if isinstance(first, bytes):
            pool.counts.served += 1
            self.facts.append(Answered(answered_us, request.id, pool.name, Kind.SERVED, first))
            return None
        text = str(reply)
        if isinstance(reply, hiredis.ReplyError) and text.split(" ")[0] == "BUSY":
            pool.counts.refused += 1
            delay_us = retry_after_us(text)
            self.facts.append(
                Answered(answered_us, request.id, pool.name, Kind.REFUSED, retry_after_us=delay_us)
            )
            return delay_us
        pool.counts.failed += 1
        self.facts.append(Answered(answered_us, request.id, pool.name, Kind.FAILED, text.encode()[:100]))
        return None if arrival.request_class.effect.name == "UNSAFE" else 0

    def cancel(self) -> None:
        """Cancel all clients."""
        for task in list(self.tasks):
            task.cancel()
