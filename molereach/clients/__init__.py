"""Clients: accepting them, the protocol that they speak, and the checks that all protocols share.

In reading order: `connection_state`, `eviction`, `disconnect_watch`, `listener`, `requests`, `commands`,
`replies`, `resp`.
"""
