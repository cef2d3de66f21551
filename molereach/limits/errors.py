"""The errors of limits."""


class LimitsError(Exception):
    """Base class of the errors of this package."""


class MalformedRecordError(LimitsError):
    """A datagram holds a record of an unknown kind, cut off, or with a value out of its range."""
