"""The errors of the transport between proxies. Their texts are one line, fit for a log and for the peer."""

from molereach.coordination.errors import CoordinationError


class TransportError(CoordinationError, ValueError):
    """Base class: the peer sent something invalid, or something cannot be sent to it."""


class FrameError(TransportError):
    """Received bytes are no frame of this session, or a body is too long to be sent."""


class HandshakeError(TransportError):
    """The peer cannot be authenticated, or is rejected."""


class MessageError(TransportError):
    """The body of a frame is no message of any known protocol."""


class AcknowledgementError(TransportError):
    """The peer acknowledged messages that were never sent, or that it had acknowledged before."""
