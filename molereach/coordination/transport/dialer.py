"""Opens connections to peers, a limited number in each turn of the event loop."""

import asyncio
from collections import deque
from collections.abc import Mapping

from molereach.coordination.transport.connection import PeerConnection
from molereach.coordination.transport.connection_owner import ConnectionPhase
from molereach.coordination.transport.peer import Peer
from molereach.coordination.transport.settings import Address

DIALS_PER_TURN = 8  # a broadcast to all members may need 200 connections at once


class Dialer:
    """Dials pending connections in the order of the requests."""

    def __init__(self, addresses: Mapping[str, Address], timeout_s: float) -> None:
        self.addresses = addresses  # mutable; looked up at each dial
        self.timeout_s = timeout_s
        self.loop = asyncio.get_running_loop()
        self.requests: deque[tuple[Peer, PeerConnection]] = deque()

    def request(self, peer: Peer, connection: PeerConnection) -> None:
        """Queue the dial of `peer` for its new pending connection."""
        self.requests.append((peer, connection))
        if len(self.requests) == 1:
            self.loop.call_soon(self.start_dials)

    def start_dials(self) -> None:
        """Start a batch of dials; the remaining ones are scheduled after other event loop callbacks."""
        for _ in range(min(len(self.requests), DIALS_PER_TURN)):
            peer, connection = self.requests.popleft()
            if connection.phase is not ConnectionPhase.CLOSED:
                peer.dial_task = self.loop.create_task(self.connect(peer.name, connection))
        if self.requests:
            self.loop.call_soon(self.start_dials)

    async def connect(self, name: str, connection: PeerConnection) -> None:
        """Open the socket of a connection; abort the connection with the reason if that fails."""
        try:
            async with asyncio.timeout(self.timeout_s):
                host, port = self.addresses[name]
                await self.loop.create_connection(lambda: connection, host, port)
        except TimeoutError:
            connection.abort("no answer")
        except OSError as error:
            connection.abort(error.strerror or str(error))
        except Exception as error:  # an invalid address
            connection.abort(f"cannot dial: {error!r}")
