"""Exceptions raised by the limits package."""


class LimitsError(Exception):
    """Base class of this package's exceptions."""


class MalformedRecordError(LimitsError):
    """A datagram contains a record that is truncated, of an unknown kind or has a field out of range."""
