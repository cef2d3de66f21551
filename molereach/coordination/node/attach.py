"""Starts coordination beside a proxy from the operator file; settings are checked before the proxy starts."""

import logging
from collections.abc import Awaitable, Callable
from pathlib import Path

from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.node.errors import AttachError
from molereach.coordination.node.service import CoordinationService, open_folder
from molereach.coordination.node.settings import MILLISECOND_US, CoordinationSettings
from molereach.coordination.storage.errors import FolderError
from molereach.coordination.storage.folder import OpenedFolder
from molereach.endpoint_address import read_address
from molereach.keyfile import read_key
from molereach.operator_config import CoordinationSection
from molereach.proxy.proxy import Proxy

log = logging.getLogger(__name__)


def read_settings(section: CoordinationSection) -> CoordinationSettings:
    """The settings of an operator file; ValueError names the key of an invalid value."""
    try:
        addresses = {name: read_address(address) for name, address in section.doors.items()}
        terms = SessionTerms(section.session_ms * MILLISECOND_US, section.drift)
        heartbeat_interval_us = section.beat_ms * MILLISECOND_US
        return CoordinationSettings(addresses, section.panel, heartbeat_interval_us, terms)
    except ValueError as error:
        raise ValueError(f"council.{error}") from error


def attacher(section: CoordinationSection) -> Callable[[Proxy], Awaitable[Callable[[], None]]]:
    """Return a function that starts coordination for a proxy; ValueError for invalid settings or key file."""
    settings = read_settings(section)
    key = read_key(Path(section.key_file), "council.key_file")

    async def attach(proxy: Proxy) -> Callable[[], None]:
        service = await start_service(section, settings, key, proxy.config.name)
        proxy.counter_sources.append(service.counters)
        proxy.on_stopped.append(service.leave)
        return lambda: None

    return attach


def open_section_folder(
    section: CoordinationSection, settings: CoordinationSettings, key: bytes, name: str
) -> OpenedFolder | None:
    """Open the configured folder, if any; AttachError if it is invalid, or if a voter has none."""
    is_voter = name in settings.initial_voters
    if section.folder is None:
        if is_voter:
            raise AttachError(f"council.folder: '{name}' is on the panel and has none")
        return None
    try:
        return open_folder(Path(section.folder), name, key, section.forming and is_voter)
    except FolderError as error:
        raise AttachError(f"council.folder: {error}") from error


async def start_service(
    section: CoordinationSection,
    settings: CoordinationSettings,
    key: bytes,
    name: str,
) -> CoordinationService:
    """Open the folder, listen and join the cluster; AttachError if that fails."""
    if name not in settings.addresses:
        raise AttachError(f"council.doors: '{name}' is not among them")
    opened_folder = open_section_folder(section, settings, key, name)
    service = CoordinationService(name, settings, key, opened_folder, {})
    host, port = settings.addresses[name]
    try:
        await service.start((host, port))
    except OSError as error:
        await service.close()
        raise AttachError(f"council.doors.{name}: {host}:{port}: {error.strerror or error}") from error
    log.info(
        "council: %s takes part at %s:%d%s", name, host, port, "" if opened_folder else ", without a folder"
    )
    return service
