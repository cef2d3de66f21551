"""Answers on their way from a server that may be stored when they arrive. Read `ticket`, `admission`."""
