"""The interface that a connection calls on its owner; the owner imports the connection, not the reverse."""

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
    DRAINING = "draining"  # sends nothing more, still processes received messages
    CLOSED = "closed"


class ConnectionOwner(Protocol[ConnectionT]):
    """The owner of connections; generic, so that this module need not import the connection's type."""

    key: bytes
    codec: MessageCodec
    settings: TransportSettings

    def admit(self, connection: ConnectionT) -> bool:
        """Register a connection with an open socket; False if no unauthenticated slot is free for it."""

    def rejection_reason(self, instance: NodeInstance) -> str:
        """The reason to reject the authenticated dialler `instance`; "" if it is accepted."""

    def on_opened(self, connection: ConnectionT) -> None:
        """Handle a completed handshake; the connection's `peer_instance` is available."""

    def schedule(self, connection: ConnectionT) -> None:
        """Schedule a step: data arrived, or the connection can write again."""

    def on_message(self, connection: ConnectionT, protocol: str, message: Any) -> None:  # noqa: ANN401
        """Deliver a message; must not raise."""

    def next_message(self, connection: ConnectionT) -> QueuedMessage | None:
        """Remove and return the message to send next, if any."""

    def on_ended(self, connection: ConnectionT, previous: ConnectionPhase, reason: str, failed: bool) -> None:
        """Handle the end of a connection, once per connection. Its socket may still be open (`DRAINING`)."""

    def on_socket_closed(self, connection: ConnectionT) -> None:
        """Handle a closed socket."""
