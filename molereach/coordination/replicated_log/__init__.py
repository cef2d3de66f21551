"""The log: one value at each position, by Multi-Paxos with one batch open at a time.

Read `settings`, `words` (messages) and `panel` (seats and their change); what is promised: `acceptor`,
`recovery` (a start), `leader` (one ballot), `election`, `confirm`; what is decided: `once`, `learner`,
`records` (the disk); `outbox` and `ledger` (nothing is told before it is written); the words of each:
`starts`, `voting`, `leading`, `catchup`, `proposals`; and `core`, which hands events to them.
"""
