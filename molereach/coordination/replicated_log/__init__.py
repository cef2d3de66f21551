"""The replicated log: one value at each position, by Multi-Paxos with one batch open at a time.

Read `settings`, `messages` and `voters` (who accepts, and how that changes); what is promised: `acceptor`,
`recovery` (a start), `leadership` (one ballot), `election`, `leadership_confirmation`; what is decided:
`deduplication`, `learner`, `records` (the disk); `outbox` and `replica_state` (nothing is sent before it is
written); who handles which messages: `start_protocol`, `acceptor_protocol`, `leader_protocol`,
`catch_up_protocol`, `proposals`; and `core`, which hands events to them.
"""
