"""Answers on their way from a server that may be kept when they come. Read `ticket`, `fills`."""
