"""Cached readings, and purges that remove a member's readings from every front door.

A reading is a server's answer to a request that is safe to repeat, kept in memory for a short age. Read
`readings` (the bounded store, by member), `fills` (answers on their way from a server), `purge` (the
replicated state machine of purges, their receipts, and the inventory of all state kept by member), `hit` and
`door` (the cache of one front door), `purge_driver` (the leader completes purges), and `interface` (what the
decision module receives).
"""
