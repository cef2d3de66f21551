"""The base class of the errors in `molereach.fleet`."""


class FleetError(Exception):
    """An error of an agent, a control server or the command-line tool; its text is one line."""
