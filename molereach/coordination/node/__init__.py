"""The coordination of one proxy: membership, replicated log, leases and dissemination as one component.

Reading order: `settings`, `initial_voters` (who votes when a cluster is formed), `components` (the sans-I/O
cores), `events` (what goes in and out), `translations` (actions of one component that are events of another),
`core` (their composition), `event_log` (log lines for the operator), `service` (I/O) and `attach` (the start
beside a proxy).
"""
