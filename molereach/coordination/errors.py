"""The base class of the errors that the coordination packages raise."""


class CoordinationError(Exception):
    """Base class of the errors of coordination; subpackages derive their own from it."""
