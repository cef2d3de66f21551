"""Which front doors live, as a hint: SWIM (Das 2002) with Lifeguard (Dadgar 2017). A core, no I/O.

In reading order: `settings`, `words` (what goes between front doors, and its budget of bytes), `events`,
`table` (what is believed of each, and which rumour wins), `gossip` (rumours on their way), `suspicion` (when
a suspect is dead), `doubt` (trust in oneself), `beliefs` (the four together), `outbox` (what goes out),
`probes` (who is asked next, and what is out), `probing` (one a beat), `core`.
"""
