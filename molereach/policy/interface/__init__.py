"""The interface of the policy: what a gateway is told and what it may do.

In reading order: `settings`, given once, at the start; `messages` between gateways; `events`, each handed to
`Gateway.handle`, which returns the `actions` to carry out, in order; `protocols`, what the policy consults.
All times are whole microseconds on the clock of the events.
"""
