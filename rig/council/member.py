"""One process of a council, which runs the coordination service and takes requests on standard input.

Started as `python -m rig.council.member CONFIG`, a JSON file. Each request is a line of JSON, and so is its
response.
"""

import asyncio
import json
import logging
import sys
from pathlib import Path
from typing import Any

import uvloop

from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.node.service import CoordinationService, open_folder
from molereach.coordination.node.settings import CoordinationSettings
from rig.council.marks import BODY, NAME, Marks


class MemberService:
    """The coordination service of this process, and the requests that a test may send to it."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.config, self.marks = config, Marks()
        key = bytes.fromhex(config["key"])
        doors = {name: (host, port) for name, (host, port) in config["doors"].items()}
        terms = SessionTerms(config["session_us"])
        settings = CoordinationSettings(doors, tuple(config["panel"]), config["beat_us"], terms)
        opened = None
        if folder := config.get("folder"):
            opened = open_folder(Path(folder), config["name"], key, config["name"] in settings.initial_voters)
        # As this process dials them, perhaps through relays.
        peer_addresses = {name: (host, port) for name, (host, port) in config["ways"].items()}
        self.service = CoordinationService(
            config["name"], settings, key, opened, {NAME: self.marks}, peer_addresses
        )

    async def answer(self, request: dict[str, Any]) -> dict[str, Any]:
        """Carry out a request and return the fields of its response."""
        match request["what"]:
            case "mark":
                result = await self.service.propose(NAME, request["id"], BODY, request["within_us"])
                return {"over": result.status.value, "position": result.position}
            case "account":
                proof = self.service.core.track_acknowledgements(request["position"], 0).proof()
                return {"proof": proof and [[each.instance.name, each.evidence.value] for each in proof]}
            case "leave":
                await self.service.leave()
                return {}
            case _:
                core = self.service.core
                alive = [instance.name for instance in core.components.membership.live_instances()]
                return {
                    **self.service.counters(),
                    "marks": self.marks.applied_ids,
                    "alive": alive,
                    "leader": core.leader,
                    "digest": core.components.log.digest(),
                    "ended": core.end_reason,
                }


async def run(config: dict[str, Any]) -> None:
    """Run the service until standard input ends."""
    member = MemberService(config)
    await member.service.start(tuple(config["listen"]))
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print(json.dumps({"ready": config["name"]}), flush=True)
    pending: set[asyncio.Task[None]] = set()

    async def respond(request: dict[str, Any]) -> None:
        print(json.dumps({"number": request["number"], **await member.answer(request)}), flush=True)

    while line := await reader.readline():
        task = asyncio.create_task(respond(json.loads(line)))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await member.service.close()


if __name__ == "__main__":
    logging.basicConfig(level="INFO", stream=sys.stderr, format="%(asctime)s %(message)s")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(json.loads(Path(sys.argv[1]).read_bytes())))
