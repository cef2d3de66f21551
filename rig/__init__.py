"""The project's own world on loopback: stand-ins, faults, scenarios and the auditor of the five rules.

Written from the protocol's page alone. Cores decide and are told the time; shells own sockets, processes and
the clock. The product never imports it.
"""
