"""Exceptions raised for responses of discovery that cannot be used."""


class DiscoveryError(ValueError):
    """A response of discovery, or a part of one, is malformed or too late; the message is a single line."""


class JsonStreamError(DiscoveryError):
    """The bytes received are not a valid stream of JSON objects."""


class MalformedListError(DiscoveryError):
    """An endpoint list, or an entry of one, contradicts itself or lacks a required field."""


class WatchResponseError(DiscoveryError):
    """The HTTP response to a watch has an unexpected status or ends within an object."""


class StagingTimeoutError(DiscoveryError):
    """A long object was not complete within its time limit."""
