"""Types shared by the coordination packages and the state machines on the log.

In reading order: `identifiers` (names, bounds, `NodeInstance`), `core` (the events and actions of every
core), `log` (entries, proposals, state machines), `disk` (writes requested by the log and their completion),
`sessions` (leases and their renewal), `clearance` (proof that an entry has taken effect at every proxy).

A core is the part of a package that does no I/O. It handles one event at a time, together with the current
time, and returns actions in order; it owns no clock, random source or socket. Times are whole microseconds of
the monotonic clock of this process. The only wall-clock time is `Entry.at_ms`, set once by the leader that
appends the entry, so every reader sees the same value.

Guarantees of each package:

- `membership`: which proxies are alive. It is a hint; nothing that must be safe may depend on it.
- `replicated_log`: one value at each position, the same at every proxy that has it, whatever fails. Safety
  needs no clock; progress needs a majority of the voters to be running and able to reach one another.
- `leases`: the session of each proxy, a lease that the proxy measures by its own clock. A proxy takes an
  action that others rely on only while it holds its session, which expires at the holder before it expires
  elsewhere.
- `dissemination`: sends entries to all proxies, and session renewals back, along a tree, so that the number
  of messages per proxy does not grow with the number of proxies.
- `transport` and `storage`: the I/O over TCP and on the disk.

Decisions are made by log entries alone. A state machine has no other input, so it reaches the same state
everywhere, including from a snapshot.
"""
