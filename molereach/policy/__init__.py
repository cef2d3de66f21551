"""The decisions of a gateway: admit, place, retry, give up, shed. No I/O, no clock, no other package.

In reading order: `interface`, then `time_units`; `backend_state`, `load_balancing`, the backends known;
`quota`, `customers`, the token buckets of each; `peer_liveness`, `gossip`, `admission`, what their owners
say; `pending_request`, `attempts`, the requests at hand; `overload_control`, what may be forwarded;
`gateway`, the order of steps.
"""
