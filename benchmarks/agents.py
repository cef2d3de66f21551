"""Many agents in one process, each with a stand-in front door that has only the control protocol.

Part of the benchmark `fleet`. The agents don't request orders from their peers: on one machine those requests
would be most of what is measured.

`python -m benchmarks.agents FLEET_FILE FIRST COUNT` serves agents of a fleet file until its standard input
ends.
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


async def refuse_peer_request(peer: str, after: int) -> OrderStateRecord | None:
    """Refuse a request for a peer's order state."""
    raise OSError("requests to peers are disabled in this benchmark")


async def main(fleet_file: Path, first: int, count: int) -> None:
    """Serve `count` agents of the fleet file from index `first`; print `ready` once all are connected."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    fleet = load(fleet_file, FleetFile)
    token = load_token(resolve(fleet_file, fleet.token))
    shutdown, server_tasks, agents = asyncio.Event(), [], []
    fake_doors: list[FakeDoor] = []
    for entry in fleet.agents[first : first + count]:
        folder = fleet_file.parent / entry.name
        folder.mkdir()
        fake_doors.append(FakeDoor(entry.proxies[0]))
        await fake_doors[-1].start(folder / f"{entry.proxies[0]}.sock")
        agent = Agent(
            entry.name, fleet.names, folder, Journal(folder / "journal", entry.name), refuse_peer_request, 0.1
        )
        agent.start()
        agents.append(agent)
        config = hypercorn_config(urlsplit(entry.url).netloc, None, fleet_file)
        app = Api(agent, Tokens(f"operate bench {token}")).app()
        server_tasks.append(asyncio.create_task(serve(app, config, shutdown_trigger=shutdown.wait)))  # type: ignore[arg-type]
    while not all(agent.connections and agent.roster.ready for agent in agents):
        await asyncio.sleep(0.05)
    print("ready", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    shutdown.set()
    await asyncio.gather(*server_tasks)
    for agent in agents:
        await agent.close()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])))
