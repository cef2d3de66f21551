"""The base class of the errors that the coordination packages raise."""


class CoordinationError(Exception):
    """Something failed in the coordination of proxies; subclasses say in which part."""
