"""Purges of a member's readings: requested in the log, completed by proof, confirmed with a receipt.

A purge is complete when every front door whose session was open when it was requested has cleared it. Read
`ids`, `bodies` (the entries), `records` and `receipt` (what is stored of a purge), `intern_table` (lists of
sessions and front doors, stored once), `proof` (which front doors have cleared a purge), `past` (recent
purges for a front door that restores a snapshot), `machine`, `status` (the answer to a customer's status
query), and `member_state` (the inventory of all state kept by member).
"""
