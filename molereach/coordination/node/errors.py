"""Errors of the coordination node."""

from molereach.coordination.errors import CoordinationError


class NodeError(CoordinationError):
    """Base class of the errors of the coordination node."""


class AttachError(NodeError, OSError):
    """Coordination cannot be started beside the proxy; the message is one line for the operator."""
