"""Errors of the transport between proxies. Each text is one line that may be logged and sent to the peer."""

from molereach.coordination.errors import CoordinationError


class TransportError(CoordinationError, ValueError):
    """Base class: the peer sent invalid data, or a message cannot be sent to it."""


class FrameError(TransportError):
    """Received bytes are not a valid frame of this session, or the size of a body to send is invalid."""


class HandshakeError(TransportError):
    """The peer cannot be authenticated, or is rejected."""


class MessageError(TransportError):
    """The body of a frame is not a valid message of a known protocol."""


class AcknowledgementError(TransportError):
    """The peer acknowledged more messages than were sent, or fewer than before."""
