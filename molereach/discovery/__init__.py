"""Discovery of backends: the endpoint list of one address, watched, read and kept up to date.

In reading order: `endpoint_mapping` (a list's entries), `json_stream` (objects that come in parts),
`poll_backoff` and `watch_supervisor` (when to call, cores), `watch_stream` (one call), `client` (one
address), `endpoint_discovery` (the change to another address).
"""
