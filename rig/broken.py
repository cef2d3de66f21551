"""Defective front doors that the auditor must detect: the real program with one fault injected.

`python -m rig.broken MODE`: drop (every 40th answer is not sent), twice (unsafe requests go to a second
server as well), drain (drains and ends of servers take effect 2 s late), crash (it exits 2 s after its
start), foreign (it answers with a value of its own), hold (every 40th answer is sent 2.5 s late), ceiling
(quotas and ceilings are ten times those of the settings), cold (it treats every server as warm), deaf (it
takes no new connections from 2 s after its start on).
"""

import asyncio
import itertools
import os
import socket
import sys
from dataclasses import replace

from molereach.__main__ import front_door
from molereach.backends.attempt import Attempt
from molereach.clients.replies import Reply
from molereach.discovery.endpoint_mapping import EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.watch_stream import Steps
from molereach.policy.interface.actions import ForwardAttempt
from molereach.policy.interface.events import EndpointState
from molereach.policy.interface.settings import Idempotency
from molereach.proxy.action_execution import ActionExecutor
from molereach.proxy.config import Config
from molereach.proxy.endpoint_updates import EndpointUpdates
from molereach.proxy.proxy import Proxy

ANSWER_INTERVAL = 40  # one answer of so many is affected
DELAY_S = 2.0
HOLD_S = 2.5
ACCEPT_QUEUE_FILLERS = 8  # connections that fill the queue of a listener that accepts none
FILLERS: list[socket.socket] = []  # kept open until the process ends


def drop() -> None:
    """Every 40th answer is not sent."""
    count, send = itertools.count(1), Reply.send

    def broken(self: Reply, data: bytes) -> None:
        if self.request_id is None or next(count) % ANSWER_INTERVAL:
            send(self, data)

    Reply.send = broken  # type: ignore[method-assign]


def twice() -> None:
    """Requests that are not idempotent go to a second server as well."""
    send = ActionExecutor.forward

    def broken(self: ActionExecutor, action: ForwardAttempt) -> None:
        send(self, action)
        exchange = self.requests.open.get(action.request_id)
        others = [name for name in self.backends.pools if name != action.endpoint]
        effect = self.settings.classes[exchange.command.request.class_index].idempotency if exchange else None
        if exchange and others and effect is Idempotency.NON_IDEMPOTENT:
            payload = exchange.command.payload(1_000_000)
            second_attempt = Attempt(action.request_id, 99, others[0], payload, lambda *outcome: None)
            self.backends.send(second_attempt, 1_000_000)

    ActionExecutor.forward = broken  # type: ignore[method-assign]


def drain() -> None:
    """Updates with servers that are not up are applied late."""
    original = EndpointUpdates.on_update

    def broken(self: EndpointUpdates, update: EndpointUpdate | StagedEndpointUpdate) -> Steps | None:
        servers = update.event.endpoints if isinstance(update, EndpointUpdate) else ()
        up = [server for server in servers if server.state is EndpointState.UP]
        if len(up) == len(servers):
            return original(self, update)
        asyncio.get_running_loop().call_later(DELAY_S, original, self, update)
        return None

    EndpointUpdates.on_update = broken  # type: ignore[method-assign]


def crash() -> None:
    """The process exits some time after its start."""
    start = Proxy.start

    async def broken(self: Proxy) -> None:
        await start(self)
        asyncio.get_running_loop().call_later(DELAY_S, os._exit, 3)

    Proxy.start = broken  # type: ignore[method-assign]


def foreign() -> None:
    """Values in answers are replaced."""
    answer = ActionExecutor.answer

    def broken(self: ActionExecutor, request_id: str, data: bytes) -> None:
        answer(self, request_id, b"$2\r\nok\r\n" if data.startswith(b"$") else data)

    ActionExecutor.answer = broken  # type: ignore[method-assign]


def hold() -> None:
    """Every 40th answer is sent late."""
    count, send = itertools.count(1), Reply.send

    def broken(self: Reply, data: bytes) -> None:
        if self.request_id is None or next(count) % ANSWER_INTERVAL:
            send(self, data)
        else:
            asyncio.get_running_loop().call_later(HOLD_S, send, self, data)

    Reply.send = broken  # type: ignore[method-assign]


def ceiling() -> None:
    """The policy gets quotas and ceilings ten times as high."""
    original = Proxy.__init__

    def broken(self: Proxy, config: Config) -> None:
        settings = config.settings
        plans = tuple(
            replace(
                plan,
                quota_rate=plan.quota_rate * 10,
                quota_burst=plan.quota_burst * 10,
                ceiling_rate=plan.ceiling_rate * 10,
                ceiling_burst=plan.ceiling_burst * 10,
            )
            for plan in settings.plans
        )
        original(self, replace(config, settings=replace(settings, plans=plans)))

    Proxy.__init__ = broken  # type: ignore[method-assign]


def cold() -> None:
    """The policy gets no start times of servers, so that none is cold, and no limit during slow start."""
    original = Proxy.__init__

    def broken(self: Proxy, config: Config) -> None:
        settings = config.settings
        original(self, replace(config, settings=replace(settings, slow_start_fraction=1.0)))
        self.endpoints.mapping.local_start_us = lambda unix_ms: 0  # type: ignore[method-assign]

    Proxy.__init__ = broken  # type: ignore[method-assign]


def deaf() -> None:
    """The process stops accepting some time after its start, and its accept queue is full."""
    start = Proxy.start

    def stop_accepting(proxy: Proxy) -> None:
        listener = proxy.clients.listener
        assert listener is not None
        proxy.loop.remove_reader(listener)
        listener.listen(0)
        for _ in range(ACCEPT_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            FILLERS.append(filler)

    async def broken(self: Proxy) -> None:
        await start(self)
        asyncio.get_running_loop().call_later(DELAY_S, stop_accepting, self)

    Proxy.start = broken  # type: ignore[method-assign]


MODES = {
    "drop": drop,
    "twice": twice,
    "drain": drain,
    "crash": crash,
    "foreign": foreign,
    "hold": hold,
    "ceiling": ceiling,
    "cold": cold,
    "deaf": deaf,
}

if __name__ == "__main__":
    MODES[sys.argv[1]]()
    sys.exit(front_door())
