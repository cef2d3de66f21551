"""The front door: passes events to the policy and executes its actions on sockets.

In reading order: `errors`, `config`, `config_file`, `resources` (limits on sockets and memory), `gossip`,
`executed_requests`, `request_registry`, `policy_driver` (batches and timers), `action_execution`,
`endpoint_updates`, `graceful_shutdown` (its times), `connection_draining` (its steps), `proxy` (which
combines them).
"""
