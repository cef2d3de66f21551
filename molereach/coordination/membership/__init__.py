"""Which proxies are alive, as a hint: SWIM (Das 2002) with Lifeguard (Dadgar 2017). A core without I/O.

In reading order: `settings`, `messages` (their types and byte budget), `events`, `table` (the state of each
member, and which rumour wins), `gossip` (rumours still to be sent), `suspicion` (when a suspect is declared
dead), `local_health` (how far this proxy trusts itself), `member_states` (these four together),
`probe_schedule` (who is probed next), `probes` (probes and relayed pings in flight), `outbox` (the actions of
one event), `failure_detector` (one probe an interval), `core`.
"""
