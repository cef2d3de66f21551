"""The interface of the policy: what a gateway is told and what it may do.

In reading order: `settings`, `messages` between gateways, `events`, `actions`, `protocols` (what the
decisions consult). All times are whole microseconds. Settings are given once, at start. Each event is handed
to `Gateway.handle`, which returns the actions to carry out, in order.
"""
