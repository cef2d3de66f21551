"""The way of a machine that is out for work, and the state machine "upkeep" that walks it on the log.

Read `way` (the table), `bodies` and `record` (what is settled and kept), `proof` (that nobody sends there any
more), `gathering` (facts in parts), `marks`, `book` (all that is kept), `guards` (what each step asks for),
`snapshots` and `machine`; of the leader `accounting` (who is missed for a proof), `nexts` (which step may
be), `planning`, `beginning`, `entry_clock`, `proposals` and `telling` (facts to the log).
"""
