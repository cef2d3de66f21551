"""Runs a front door: its start, its handling of signals and its exit code."""

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

# Attaches optional subsystems to a proxy before it starts; returns the function that detaches them.
AttachSubsystems = Callable[[Proxy], Awaitable[Callable[[], None]]]

MAX_LINES_PER_WINDOW = 10  # log lines from one place in the code
RATE_LIMIT_WINDOW_S = 10.0


class LogRateLimiter(logging.Filter):
    """Limits the log lines from each place in the code, so that events caused by peers cannot flood the log.

    The first line of the next window says how many were suppressed.
    """

    def __init__(self) -> None:
        super().__init__()
        # Start of the current window and number of lines in it, by file and line of the logging call.
        self.windows: dict[tuple[str, int], tuple[float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written; the first of a new window gets the number of suppressed lines."""
        place = record.pathname, record.lineno
        window_start, count = self.windows.get(place, (record.created, 0))
        if record.created - window_start >= RATE_LIMIT_WINDOW_S:
            if count > MAX_LINES_PER_WINDOW:
                record.msg = f"{record.msg} ({count - MAX_LINES_PER_WINDOW} like it were left out)"
            window_start = record.created
            count = 0
        self.windows[place] = window_start, count + 1
        return count < MAX_LINES_PER_WINDOW


def reload_configuration(proxy: Proxy) -> None:
    """Reload the configuration; an invalid one is not applied, and a later reload cancels one in progress."""
    if proxy.config_reload:
        proxy.config_reload.cancel()
        proxy.config_reload = None
    if is_large(os.environ):
        proxy.config_reload = asyncio.get_running_loop().create_task(reload_in_background(proxy))
        return
    try:
        config = reload(os.environ)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        return
    proxy.reconfigure(config)


async def reload_in_background(proxy: Proxy) -> None:
    """Reload a large configuration file in steps, between which requests are served."""
    steps = reload_in_steps(os.environ)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            proxy.reconfigure(stop.value)
            return
        except ConfigError as error:
            log.error("the configuration stays as it was: %s", error)
            return
        await asyncio.sleep(0)


async def serve(config: Config, attach: AttachSubsystems | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then drain; reload the configuration on SIGHUP."""
    loop = asyncio.get_running_loop()
    # The time of the first SIGTERM or SIGINT, in microseconds; later ones have no effect.
    notified_at_us: asyncio.Future[int] = loop.create_future()

    def on_termination_signal() -> None:
        if not notified_at_us.done():
            notified_at_us.set_result(now_us())

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_termination_signal)
    proxy = Proxy(config)
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, proxy)
    detach = await attach(proxy) if attach else None
    await proxy.start()
    # Objects that live as long as the process need not be scanned by each garbage collection.
    gc.collect()
    gc.freeze()
    log.info("%s serves at %s:%d", config.name, *config.listen)
    shutdown_from_us = await notified_at_us
    log.info("%s drains", config.name)
    await proxy.drain(shutdown_from_us)
    if detach:
        detach()
    log.info("%s", proxy.clients.delays.describe())
    log.info("%s ends", config.name)


def front_door(log_level: str = "INFO", attach: AttachSubsystems | None = None) -> int:
    """Run one front door until a signal ends it; return its exit code."""
    # An early SIGHUP must not kill the process; the start reads the file in any case. Until this line runs,
    # the command line in the deployment file makes the process ignore the signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(
        stream=sys.stderr, level=log_level, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimiter())
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
    """Run the front door or the command in the arguments; return the exit code.

    Without arguments and without an operator file, only the modules of the front door are imported.
    """
    if len(sys.argv) > 1 or os.environ.get("MOLEREACH_OPERATOR"):
        from molereach import command

        return command.run(sys.argv[1:], os.environ, front_door)
    return front_door()


if __name__ == "__main__":
    sys.exit(main())
