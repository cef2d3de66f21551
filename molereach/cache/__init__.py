"""Readings answered again from memory for a short age, and a member's purge that reaches every front door.

Read `readings` (what is kept, by member), `fills` (answers on their way), `purge` (what is settled, the
receipts, what else is kept by member), `hit` and `door` (one front door's side), `driver` (the leader's), and
`interface` (what the decision module may be handed).
"""
