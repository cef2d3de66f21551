"""molereach: a front door on real sockets around the decisions of fennelwinch."""

__version__ = "0.4.0"
