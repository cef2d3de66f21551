"""Control, memory, turns and requests of front doors in a tier of 7,500 before 93,000 backends.

Real front doors run beside simulated doors, backends, tenants and discovery, which send and read the
protocols' real bytes on loopback. In reading order: `tier` (its members), `catalogue` and `agent`
(discovery), `backends`, `hollow` (simulated doors, which are only peers), `load` (clients), `helper` and
`role` (a process for each of these), `doors` (real ones), `counted` (one that counts datagrams), `stage` (one
running tier), `day` (its list changes), `moves` and `troubles` (the measurements), `ladders` (slopes), `fit`,
`figures` (names and aims), `play` (the order of a run), `run` (its result), `page` (whether a page agrees
with a run's figures).
"""

from benchmarks.scale.run import measure as measure
