"""Types that the parts of coordination share with one another and with the state machines on the log.

In reading order: `identifiers` (names, bounds, `NodeInstance`), `core` (what every core handles and
returns), `log` (entries, proposals, state machines), `disk` (what the log has written), `sessions` (leases
and their renewal), `clearance` (proof that an entry holds everywhere).

Each core takes one event with the time and returns actions in order; it owns no clock, random source or
socket. Times are whole microseconds of a monotonic clock of this process alone. The one wall time is
`Entry.at_ms`, written once by the proxy that proposed the entry, so every reader sees the same value.

What each part of coordination promises:

- `membership`: which proxies are alive. It is a hint; nothing that must be safe may depend on it.
- `replicated_log`: one value at each position, the same at every proxy that has it, whatever fails. Safety
  needs no clock; progress needs a majority of the voters that run and reach one another.
- `leases`: the session of each proxy, a lease that it measures by its own clock. What a proxy may do only
  while others rely on it, it does under its session, which ends at the holder before it ends elsewhere.
- `dissemination`: entries to all proxies, and session renewals back, along a tree, so that the messages of
  one proxy do not grow with the number of proxies.
- `transport` and `storage`: the shells around TCP and the disk.

Decisions are made by log entries alone. A state machine gets nothing else, so it reaches the same state
everywhere, also from a snapshot.
"""
