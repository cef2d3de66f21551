"""The base class of a proxy's errors."""


class ProxyError(Exception):
    """A proxy cannot start or continue as requested; the message is one line."""
