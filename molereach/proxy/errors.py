"""The base of a proxy's errors."""


class ProxyError(Exception):
    """A proxy cannot start or go on as asked; the message is one plain line."""
