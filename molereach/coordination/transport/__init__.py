"""Authenticated TCP connections between the proxies of a cluster.

Sans-I/O modules, in reading order: `errors`, `settings` and `stats`; `frames` (authenticated frames),
`handshake` (mutual authentication), `messages` (the bodies of frames), `heartbeat` (failure detection on a
connection), `session_channel` (frames and messages of one session), `send_queue` (messages queued for a
peer), `retry_backoff` (when to dial again), `budget` (work per turn of the event loop) and `connection_slots`
(limit on unauthenticated connections). Modules with I/O: `connection_owner` (the interface that a connection
calls), `connection` (one socket), `fair_scheduler` (round-robin over connections), `peer` (one remote proxy),
`warning_limiter`, `dialer`, `connection_registry` (all peers and connections) and `service` (the interface
for the coordination node).
"""
