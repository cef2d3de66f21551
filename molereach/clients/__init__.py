"""Client connections: the listener, the RESP protocol, and the validation shared by all protocols.

In reading order: `connection_state`, `eviction`, `disconnect_watch`, `delays`, `listener`, `requests`,
`commands`, `replies`, `command_buffer`, `input_drain`, `resp_replies`, `resp`.
"""
