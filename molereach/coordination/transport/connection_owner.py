"""What a connection needs from its owner and reports to it; only the owner imports the connection."""

from enum import Enum
from typing import Any, Protocol, TypeVar

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.messages import MessageCodec
from molereach.coordination.transport.send_queue import QueuedMessage
from molereach.coordination.transport.settings import TransportSettings

ConnectionT = TypeVar("ConnectionT", contravariant=True)


class ConnectionPhase(Enum):
    """The states of a connection, in order."""

    HANDSHAKE = "handshake"
    OPEN = "open"
    DRAINING = "draining"  # nothing more is sent; what arrives is processed
    CLOSED = "closed"


class ConnectionOwner(Protocol[ConnectionT]):
    """The owner of connections of one type. Imports run from the connection to this module only."""

    key: bytes
    codec: MessageCodec
    settings: TransportSettings

    def admit(self, connection: ConnectionT) -> bool:
        """Register a connection that has a socket; False if an incoming one finds no unauthenticated slot."""

    def rejection_reason(self, instance: NodeInstance) -> str:
        """Why the authenticated dialler `instance` is rejected; "" if it is accepted."""

    def on_opened(self, connection: ConnectionT) -> None:
        """The handshake is complete; the connection knows the peer's instance."""

    def schedule(self, connection: ConnectionT) -> None:
        """The connection needs a step: data arrived, or it can write again."""

    def on_message(self, connection: ConnectionT, protocol: str, message: Any) -> None:  # noqa: ANN401
        """Deliver a message; must not raise."""

    def next_message(self, connection: ConnectionT) -> QueuedMessage | None:
        """Remove and return the message to send next, if any."""

    def on_ended(self, connection: ConnectionT, previous: ConnectionPhase, reason: str, failed: bool) -> None:
        """The connection is no longer usable; reported once each. Its socket may be open while `DRAINING`."""

    def on_socket_closed(self, connection: ConnectionT) -> None:
        """The socket is closed."""
