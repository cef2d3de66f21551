"""Discovery of backends: the endpoint list of one address, watched, read and kept up to date.

In reading order: `errors`, `endpoint_mapping` (a list's entries), `json_stream` (objects in a stream of
bytes), `poll_backoff` and `watch_supervisor` (when to poll, without I/O), `watch_stream` (one request),
`client` (one address), `endpoint_discovery` (the change to another address).
"""
