"""Start of a front door, its signals and its exit code."""

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable

import uvloop

from molereach.clock import now_us
from molereach.proxy.config import Config, ConfigError
from molereach.proxy.config_file import is_large, load, reload, reload_in_steps
from molereach.proxy.proxy import Proxy

log = logging.getLogger("molereach")

# Switches on what stands beside a front door before it starts; returns what switches it off.
AttachSubsystems = Callable[[Proxy], Awaitable[Callable[[], None]]]

MAX_LINES_PER_SPAN = 10  # from one place in the code
SPAN_S = 10.0


class RateLimit(logging.Filter):
    """Bounds the lines from each place in the code: what peers can cause must not flood the log.

    The first line that is let through again says how many were left out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.places: dict[tuple[str, int], tuple[float, int]] = {}  # start of the span and lines in it

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line is written; the first of a place's next span counts those left out."""
        place = record.pathname, record.lineno
        start, count = self.places.get(place, (record.created, 0))
        if record.created - start >= SPAN_S:
            if count > MAX_LINES_PER_SPAN:
                record.msg = f"{record.msg} ({count - MAX_LINES_PER_SPAN} like it were left out)"
            start = record.created
            count = 0
        self.places[place] = start, count + 1
        return count < MAX_LINES_PER_SPAN


def reload_configuration(door: Proxy) -> None:
    """Read the configuration again; one that is not usable changes nothing. Of several the last holds."""
    if door.config_reload:
        door.config_reload.cancel()
        door.config_reload = None
    if is_large(os.environ):
        door.config_reload = asyncio.get_running_loop().create_task(reload_in_background(door))
        return
    try:
        config = reload(os.environ)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        return
    door.reconfigure(config)


async def reload_in_background(door: Proxy) -> None:
    """Read a long file, with requests between its pieces."""
    steps = reload_in_steps(os.environ)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            door.reconfigure(end.value)
            return
        except ConfigError as error:
            log.error("the configuration stays as it was: %s", error)
            return
        await asyncio.sleep(0)


async def serve(config: Config, attach: AttachSubsystems | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then drain; on SIGHUP take over the configuration."""
    loop = asyncio.get_running_loop()
    notified_at: asyncio.Future[int] = (
        loop.create_future()
    )  # of the first signal to end; later ones change nothing

    def end() -> None:
        if not notified_at.done():
            notified_at.set_result(now_us())

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    door = Proxy(config)
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, door)
    detach = await attach(door) if attach else None
    await door.start()
    # What lives as long as the process need not be looked through by every collection.
    gc.collect()
    gc.freeze()
    log.info("%s serves at %s:%d", config.name, *config.listen)
    notified_at_us = await notified_at
    log.info("%s drains", config.name)
    await door.drain(notified_at_us)
    if detach:
        detach()
    log.info("%s ends", config.name)


def front_door(log_level: str = "INFO", attach: AttachSubsystems | None = None) -> int:
    """Run one front door until it is told to end; its exit code."""
    # Whoever reloads too early is not to kill us; the start reads the file in any case. While this is still
    # being imported the line in the deploy file sees to it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(
        stream=sys.stderr, level=log_level, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimit())
    try:
        config = load(os.environ)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, attach))
    except ConfigError as error:
        print(f"molereach: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"molereach: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    """The front door, or the command that is named.

    Without one, and without an operator file, nothing more is imported than the front door needs.
    """
    if len(sys.argv) > 1 or os.environ.get("MOLEREACH_OPERATOR"):
        from molereach import command

        return command.run(sys.argv[1:], os.environ, front_door)
    return front_door()


if __name__ == "__main__":
    sys.exit(main())
