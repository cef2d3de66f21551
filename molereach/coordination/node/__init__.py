"""Coordination of one proxy: membership, replicated log, leases and dissemination combined into one node.

Modules in reading order: `settings`, `initial_voters` (the voters of a new cluster), `components` (the
sans-I/O components), `events` (events and actions of the node), `translations` (actions of one component that
are events of another), `core` (composition of the components), `event_log` (log lines for the operator),
`service` (I/O) and `attach` (startup beside a proxy).
"""
