"""Clients: taking them in, what they speak, and the checks that all of them share.

In reading order: `connection_state`, `disconnect_watch`, `listener`, `requests`, `commands`, `replies`,
`resp`.
"""
