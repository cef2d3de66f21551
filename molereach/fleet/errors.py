"""The base class of the errors that the fleet's modules define."""


class FleetError(Exception):
    """An error of the fleet's agents, control or tool; its text is one line."""
