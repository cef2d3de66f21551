"""Many agents in one process, each with a front door that is only its control. Part of the benchmark `fleet`.
They do not ask each other for news: on one machine that would be most of what is measured.

`python -m benchmarks.agents FLEET_FILE FIRST COUNT` serves agents of a fleet's file until its input ends.
"""

import asyncio
import sys
from pathlib import Path
from urllib.parse import urlsplit

import structlog
import uvloop
from hypercorn.asyncio import serve

from molereach.fleet.agent.agent import Agent
from molereach.fleet.agent.api import Api
from molereach.fleet.agent.auth import Tokens
from molereach.fleet.agent.run import hypercorn_config
from molereach.fleet.journal import Journal
from molereach.fleet.orders import OrderStateRecord
from molereach.fleet.settings import FleetFile, load, load_token, resolve
from rig.fakedoor import FakeDoor


async def unasked(peer: str, after: int) -> OrderStateRecord | None:
    raise OSError("peers are not asked here")


async def main(file: Path, first: int, count: int) -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    fleet = load(file, FleetFile)
    token = load_token(resolve(file, fleet.token))
    stopped, tasks, agents = asyncio.Event(), [], []
    doors: list[FakeDoor] = []
    for entry in fleet.agents[first : first + count]:
        folder = file.parent / entry.name
        folder.mkdir()
        doors.append(FakeDoor(entry.proxies[0]))
        await doors[-1].start(folder / f"{entry.proxies[0]}.sock")
        agent = Agent(entry.name, fleet.names, folder, Journal(folder / "journal", entry.name), unasked, 0.1)
        agent.start()
        agents.append(agent)
        config = hypercorn_config(urlsplit(entry.url).netloc, None, file)
        app = Api(agent, Tokens(f"operate bench {token}")).app()
        tasks.append(asyncio.create_task(serve(app, config, shutdown_trigger=stopped.wait)))  # type: ignore[arg-type]
    while not all(agent.connections and agent.roster.ready for agent in agents):
        await asyncio.sleep(0.05)
    print("ready", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    stopped.set()
    await asyncio.gather(*tasks)
    for agent in agents:
        await agent.close()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])))
