"""One front door: events to the decision module, its actions to the sockets."""
