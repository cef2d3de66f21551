"""The interface of the policy: its inputs, its outputs and the services that it consults.

Modules in reading order: `settings`, passed once at start; `messages` exchanged between gateways; `events`,
each passed to `Gateway.handle`, which returns the `actions` to carry out in order; `protocols`, the services
that the caller may supply. All times are whole microseconds on the clock of the events.
"""
