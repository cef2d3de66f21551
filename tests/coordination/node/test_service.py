"""The coordination service: an event reported during an action is handled in a new turn."""

import asyncio
from pathlib import Path

from molereach.coordination.interface.disk import Persist
from molereach.coordination.node.initial_voters import initial_disk_identity
from molereach.coordination.node.service import CoordinationService, open_folder
from molereach.coordination.node.settings import CoordinationSettings
from molereach.coordination.storage import worker
from tests.sockets import HOST, run

KEY = b"a key of the whole council"
ADDRESSES = {name: (HOST, 7100 + number) for number, name in enumerate(("n0", "n1", "n2"))}


def test_a_full_disk_queue_is_reported_in_a_turn_of_its_own(tmp_path: Path) -> None:
    async def scenario() -> None:
        tmp_path.chmod(0o700)
        opened_folder = open_folder(tmp_path, "n0", KEY, True)
        assert opened_folder.identity == initial_disk_identity(KEY, "n0").hex()
        service = CoordinationService(
            "n0", CoordinationSettings(ADDRESSES, tuple(ADDRESSES)), KEY, opened_folder, {}
        )
        handled_during_action: list[bool] = []
        is_executing = False
        original_handle = service.core.handle

        def handle(now_us: int, event: object) -> list[object]:
            handled_during_action.append(is_executing)
            return original_handle(now_us, event)  # type: ignore[arg-type]

        service.core.handle = handle  # type: ignore[method-assign,assignment]
        is_executing = True
        service.execute_action(Persist(1, (b"x" * (worker.MAX_WAITING_BYTES + 1),)))
        is_executing = False
        assert handled_during_action == []
        await asyncio.sleep(0)
        assert handled_during_action == [False] and service.core.components.log.outbox.failed
        await service.close()

    run(scenario())
