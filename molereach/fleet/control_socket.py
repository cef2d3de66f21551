"""Checks of a control socket: its path before it is opened, and the user of each connection."""

import socket
import stat
import struct
from pathlib import Path

from molereach.fleet.errors import FleetError

PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group id, as in struct ucred
WRITABLE_BY_OTHERS = 0o022


class ControlError(FleetError, OSError):
    """The control socket cannot be opened; the text is one line."""


def peer_user_id(connection: socket.socket) -> int:
    """Return the id of the user that opened a connection, as the kernel reports it."""
    credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    return int(PEER_CREDENTIALS.unpack(credentials)[1])


def remove_stale_socket(path: Path) -> None:
    """Remove the socket of a proxy that was killed; raise ControlError if the path cannot be used."""
    folder = path.parent
    try:
        if stat.S_IMODE(folder.stat().st_mode) & WRITABLE_BY_OTHERS:
            raise ControlError(f"{folder}: others may write to this folder")
        status = path.lstat()
    except FileNotFoundError:
        if not folder.is_dir():
            raise ControlError(f"{folder}: there is no such folder") from None
        return
    if not stat.S_ISSOCK(status.st_mode):
        raise ControlError(f"{path}: is there and is no socket")
    with socket.socket(socket.AF_UNIX) as client:
        if client.connect_ex(str(path)) == 0:
            raise ControlError(f"{path}: another front door is there")
    path.unlink()
