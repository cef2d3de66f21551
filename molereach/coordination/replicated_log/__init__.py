"""The replicated log: one value at each position, by Multi-Paxos with one batch in progress at a time.

In reading order: `settings`, `messages` and `voters` (the acceptors of a position, and how they change);
promises and votes: `acceptor`, `recovery` (after a start), `leadership` (one ballot), `election`,
`leadership_confirmation`; decided entries: `deduplication`, `learner`, `records` (on disk); `outbox` and
`replica_state` (nothing is sent before it is written); the handlers of messages: `start_protocol`,
`acceptor_protocol`, `leader_protocol`, `catch_up_protocol`, `proposals`; and `core`, which dispatches events
to them.
"""
