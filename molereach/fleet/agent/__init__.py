"""The agent of the proxies on one machine.

In reading order: `link` (the connection to one proxy), `watcher` (queues of events for API clients), `agent`
(the acceptor, its journal, proxies and peers), `peers` (requests to other agents), `auth` (tokens and roles),
`middleware` and `api` (the HTTP API), `openapi` (its published description), `run` (start and end).
"""
