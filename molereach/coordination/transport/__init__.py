"""Authenticated TCP connections between the proxies of a cluster.

Sans-I/O, in reading order: `errors`, `settings` and `stats`; `frames` (authenticated frames), `handshake`
(mutual authentication), `messages` (the bodies of frames), `heartbeat` (failure detection on a connection),
`session_channel` (one session's frames and messages), `send_queue` (messages that wait for a peer),
`retry_backoff` (when to dial again), `budget` (work per turn of the event loop) and `connection_slots` (limit
of unauthenticated connections). With I/O: `connection_owner` (what a connection reports), `connection` (one
socket), `fair_scheduler` (whose step is next), `peer` (one remote proxy), `warning_limiter`, `dialer`,
`connection_registry` (all peers and connections) and `service` (the interface for the coordination node).
"""
