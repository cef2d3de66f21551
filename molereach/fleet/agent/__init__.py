"""The agent: manages the proxies on one machine and takes part in the agreement on orders.

In reading order: `link` (the connection to one proxy), `watcher` (event queues of API clients), `agent` (the
acceptor, its journal, proxies and peers), `peers` (fetches the state of other agents), `auth` (tokens and
roles), `middleware` and `api` (the HTTP API), `openapi` (its published description), `run` (the process).
"""
