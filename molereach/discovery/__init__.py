"""Client of the discovery service: keeps a watch on the endpoint list and publishes its updates.

In reading order: `errors`, `endpoint_mapping` (parses the entries of a list), `json_stream` (splits a byte
stream into JSON objects), `poll_backoff` and `watch_supervisor` (when to poll; no I/O), `watch_stream` (one
HTTP request), `client` (one address), `endpoint_discovery` (switches to another address).
"""
