"""One process of a council, steered by lines on its standard input: the service, and marks on its log.

Started as `python -m rig.council.member CONFIG`, a JSON file. It answers each line with one line.
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


class Member:
    """The service of this process, and what its tester may ask."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.config, self.marks = config, Marks()
        key = bytes.fromhex(config["key"])
        doors = {name: (host, port) for name, (host, port) in config["doors"].items()}
        terms = SessionTerms(config["session_us"])
        settings = CoordinationSettings(doors, tuple(config["panel"]), config["beat_us"], terms)
        opened = None
        if folder := config.get("folder"):
            opened = open_folder(Path(folder), config["name"], key, config["name"] in settings.initial_voters)
        ways = {name: (host, port) for name, (host, port) in config["ways"].items()}  # by relays
        self.service = CoordinationService(config["name"], settings, key, opened, {NAME: self.marks}, ways)

    async def answer(self, ask: dict[str, Any]) -> dict[str, Any]:
        match ask["what"]:
            case "mark":
                over = await self.service.propose(NAME, ask["id"], BODY, ask["within_us"])
                return {"over": over.status.value, "position": over.position}
            case "account":
                proof = self.service.core.track_acknowledgements(ask["position"], 0).proof()
                return {"proof": proof and [[each.instance.name, each.evidence.value] for each in proof]}
            case "leave":
                await self.service.leave()
                return {}
            case _:
                core = self.service.core
                alive = [life.name for life in core.components.membership.live_instances()]
                return {
                    **self.service.counters(),
                    "marks": self.marks.seen,
                    "alive": alive,
                    "leader": core.leader,
                    "digest": core.components.log.digest(),
                    "ended": core.end_reason,
                }


async def run(config: dict[str, Any]) -> None:
    member = Member(config)
    await member.service.start(tuple(config["listen"]))
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print(json.dumps({"ready": config["name"]}), flush=True)
    under_way: set[asyncio.Task[None]] = set()

    async def answer(ask: dict[str, Any]) -> None:
        print(json.dumps({"number": ask["number"], **await member.answer(ask)}), flush=True)

    while line := await reader.readline():
        task = asyncio.create_task(answer(json.loads(line)))
        under_way.add(task)
        task.add_done_callback(under_way.discard)
    await member.service.close()


if __name__ == "__main__":
    logging.basicConfig(level="INFO", stream=sys.stderr, format="%(asctime)s %(message)s")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(json.loads(Path(sys.argv[1]).read_bytes())))
