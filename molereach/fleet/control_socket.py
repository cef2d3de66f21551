"""The path of a control socket, and the user at the other end of a connection."""

import socket
import stat
import struct
from pathlib import Path

from molereach.fleet.errors import FleetError

PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group, as in struct ucred
WRITABLE_BY_OTHERS = 0o022


class ControlError(FleetError, OSError):
    """The socket cannot be opened; the text is one line."""


def peer_user(connection: socket.socket) -> int:
    """Return the user that opened a connection, as the kernel reports it."""
    packed = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    return int(PEER_CREDENTIALS.unpack(packed)[1])


def remove_stale_socket(path: Path) -> None:
    """Remove the socket of a proxy that has died; raise ControlError for anything else at the path."""
    folder = path.parent
    try:
        if stat.S_IMODE(folder.stat().st_mode) & WRITABLE_BY_OTHERS:
            raise ControlError(f"{folder}: others may write to this folder")
        found = path.lstat()
    except FileNotFoundError:
        if not folder.is_dir():
            raise ControlError(f"{folder}: there is no such folder") from None
        return
    if not stat.S_ISSOCK(found.st_mode):
        raise ControlError(f"{path}: is there and is no socket")
    with socket.socket(socket.AF_UNIX) as client:
        if client.connect_ex(str(path)) == 0:
            raise ControlError(f"{path}: another front door is there")
    path.unlink()
