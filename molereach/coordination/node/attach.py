"""The council beside a running front door: settings of the operator file, checked before the start."""

import logging
from collections.abc import Awaitable, Callable
from pathlib import Path

from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.node.service import CouncilService, open_folder
from molereach.coordination.node.settings import MS, CouncilSettings
from molereach.coordination.storage.errors import FolderError
from molereach.endpoint_address import read_address
from molereach.keyfile import read_key
from molereach.operator_config import CoordinationSection
from molereach.proxy.proxy import Proxy

log = logging.getLogger(__name__)


class CouncilError(OSError):
    """The front door cannot take its part; the text is one plain line."""


def read_settings(section: CoordinationSection) -> CouncilSettings:
    """ValueError with the key where the settings cannot be."""
    try:
        doors = {name: read_address(address) for name, address in section.doors.items()}
        terms = SessionTerms(section.session_ms * MS, section.drift)
        return CouncilSettings(doors, section.panel, section.beat_ms * MS, terms)
    except ValueError as error:
        raise ValueError(f"council.{error}") from error


def attacher(section: CoordinationSection) -> Callable[[Proxy], Awaitable[Callable[[], None]]]:
    """What switches the council on for a front door that is about to start."""
    settings, key = read_settings(section), read_key(Path(section.key_file), "council.key_file")

    async def attach(door: Proxy) -> Callable[[], None]:
        service = await begin(section, settings, key, door.config.name)
        door.counter_sources.append(service.counters)
        door.on_stopped.append(service.leave)
        return lambda: None

    return attach


async def begin(
    section: CoordinationSection, settings: CouncilSettings, key: bytes, name: str
) -> CouncilService:
    """Open the folder, take links and join; CouncilError where that cannot be."""
    if name not in settings.doors:
        raise CouncilError(f"council.doors: '{name}' is not among them")
    if name in settings.panel and section.folder is None:
        raise CouncilError(f"council.folder: '{name}' is on the panel and has none")
    try:
        opened = None
        if section.folder is not None:
            seated = section.forming and name in settings.panel
            opened = open_folder(Path(section.folder), name, key, seated)
    except FolderError as error:
        raise CouncilError(f"council.folder: {error}") from error
    service = CouncilService(name, settings, key, opened, {})
    host, port = settings.doors[name]
    try:
        await service.start((host, port))
    except OSError as error:
        await service.close()
        raise CouncilError(f"council.doors.{name}: {host}:{port}: {error.strerror or error}") from error
    log.info("council: %s takes part at %s:%d%s", name, host, port, "" if opened else ", without a folder")
    return service
