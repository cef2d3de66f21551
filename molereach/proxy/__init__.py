"""One front door: events to the policy, its actions to the sockets.

In reading order: `errors`, `config`, `config_file`, `resources` (bounds), `gossip`, `request_registry`,
`policy_driver` (batches and timers), `action_execution`, `endpoint_updates`, `graceful_shutdown` (when),
`connection_draining` (how), `proxy` (all of it).
"""
