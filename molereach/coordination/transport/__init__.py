"""TCP between the front doors of a council: a shell with its cores.

Cores, in reading order: `frames` (bytes to bodies and back, each proven), `hello` (who the other side is),
`words` (bodies to messages of the parts), `pulse` (whether a link lives), `speech` (all that is said on one),
`queue` (what waits for a peer), `retry` (when to dial), `budget` (how much in one turn),
`connection_slots` (how many
unproven); `settings` and `stats` are figures. Shells: `owner` (what a link asks of it), `link` (one
connection), `turns` (whose turn it is), `peer` (one front door and the way there), `board` (all of them),
`service` (what the council uses).
"""
