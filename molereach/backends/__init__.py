"""Backend connections: one connection pool per backend, and the attempts that run on its connections.

In reading order: `attempt`, `answers`, `idle_reuse`, `connection`, `pool`, `pools`. Modules import only
earlier ones: attempts and connections depend on the pool through protocols, and only `pools` depends on the
policy's endpoints.
"""
