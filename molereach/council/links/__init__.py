"""TCP between the front doors of a council: a shell with its cores.

Cores, in reading order: `frames` (bytes to bodies and back, each proven), `hello` (who the other side is),
`words` (bodies to messages of the parts), `queue` (what waits for a peer), `retry` (when to dial), `pulse`
(whether a link lives), `budget` (how much in one turn), `places` (how many at once); `settings` has their
figures. Shells: `link` (one connection), `peer` (one front door and its way there), `service` (all of them).
"""
