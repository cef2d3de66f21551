"""A test bed on loopback: stand-in servers, discovery and clients, fault scenarios, and an auditor.

It is written from the protocol's page alone, and the product never imports it. Modules that decide do no I/O
and are given the time; others own sockets, processes and the clock.
"""
