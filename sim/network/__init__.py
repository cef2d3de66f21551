"""TCP and UDP in memory, with what kernels do, on the simulated loop.

A connection is two endpoints, each in a process's descriptor. What is written travels for a while and arrives
in order; the reader has a window, so that a writer whose peer does not read waits; reads come in pieces of
any size. Closing with bytes unread, a killed process with bytes unread, SO_LINGER of 0 and writing to an
endpoint that is gone are resets (RFC 9293, 3.5.2 and 3.10.4); a reset overtakes nothing and discards what was
not read.

In reading order: `way` (how long things take), `kernel` (ports and descriptors), `endpoint`, `transport`,
`listener`, `tcp`, `udp`, `modules` (what stands in for `socket` and `select`), `network` (all of it).
"""
