"""In-memory TCP and UDP with the kernel's semantics, on the simulated event loop.

A connection is a pair of endpoints, each held by a descriptor of a process. Written bytes arrive in order
after a random delay. Each endpoint has a receive window, so a writer blocks while its peer does not read. A
read returns a chunk of random size. A connection is reset when it is closed or its process is killed with
unread bytes, when it is closed with an SO_LINGER of 0, and when data arrives at a closed endpoint (RFC 9293,
3.5.2 and 3.10.4). A reset stays in order behind earlier segments and discards unread bytes.

In reading order: `way` (delays and losses), `kernel` (ports and descriptors), `endpoint`, `transport`,
`listener`, `tcp`, `udp`, `modules` (replacements for `socket` and `select`), `network` (the facade).
"""
