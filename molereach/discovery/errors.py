"""Errors of discovery: what it sent cannot be used."""


class DiscoveryError(ValueError):
    """A response of discovery, or a part of one, is malformed or comes too late; the message is one line."""


class JsonStreamError(DiscoveryError):
    """The bytes received cannot be part of a stream of JSON objects."""


class MalformedListError(DiscoveryError):
    """An endpoint list, or an entry of one, contradicts itself or lacks what it must have."""


class WatchResponseError(DiscoveryError):
    """The HTTP response to a watch has an unexpected status or ends too early."""


class StagingTimeoutError(DiscoveryError):
    """A long object has not ended in time."""
