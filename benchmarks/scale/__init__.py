"""Control, memory, turns and requests of front doors in a tier of 7,500 before 93,000 backends.

Real front doors stand beside hollow doors, backends, tenants and discovery, which speak the protocols' real
bytes on loopback. In reading order: `tier` (who is in it), `catalogue` and `agent` (discovery), `backends`,
`hollow` (doors that are peers alone), `load` (clients), `helper` and `role` (a process for each of these),
`doors` (real ones), `counted` (one that counts datagrams), `stage` (one tier in play), `day` (its changes),
`moves` and `troubles` (what is played), `ladders` (slopes), `fit`, `figures` (names and aims), `play` (the
order of a run), `run` (its result), `page` (whether a page says what a run has measured).
"""

from benchmarks.scale.run import measure as measure
