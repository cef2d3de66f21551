"""Start of a front door, its signals and its exit code."""

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from molereach.config import Config, ConfigError, load, reload
from molereach.frontdoor import FrontDoor

log = logging.getLogger("molereach")


def take_over(door: FrontDoor) -> None:
    """Read the configuration again; one that is not usable changes nothing."""
    try:
        config = reload(os.environ)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        return
    door.reconfigure(config)


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then drain; on SIGHUP take over the configuration."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    door = FrontDoor(config)
    loop.add_signal_handler(signal.SIGHUP, take_over, door)
    await door.start()
    # What lives as long as the process need not be looked through by every collection.
    gc.collect()
    gc.freeze()
    log.info("%s serves at %s:%d", config.name, *config.listen)
    await stopped.wait()
    log.info("%s drains", config.name)
    await door.drain()
    log.info("%s ends", config.name)


def main() -> int:
    # Whoever reloads too early is not to kill us; the start reads the file in any case.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        config = load(os.environ)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config))
    except ConfigError as error:
        print(f"molereach: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"molereach: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
