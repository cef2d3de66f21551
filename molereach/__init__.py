"""molereach: a front door on real sockets around the decisions of fennelwinch."""
