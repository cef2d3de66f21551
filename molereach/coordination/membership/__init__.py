"""Group membership: a best-effort view of the live proxies, by SWIM (Das 2002) with Lifeguard (Dadgar 2017).

The core does no I/O. In reading order: `settings`, `messages` (message types and the byte budget), `events`,
`table` (the state of each member, and which rumour takes precedence), `gossip` (rumours still to be sent),
`suspicion` (when a suspect is declared dead), `local_health` (how reliable this proxy is as an observer),
`member_states` (combines these four), `probe_schedule` (which member is probed next), `probes` (probes and
relayed pings in flight), `outbox` (the actions that one event causes), `failure_detector` (one probe per
interval), `core`.
"""
