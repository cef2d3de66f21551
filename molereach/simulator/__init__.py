"""Runs policy instances for the simulator: `adapter` is a process that speaks the simulator's line protocol.

It only translates between that protocol and the policy's events and actions.

In reading order: `fields`, `event_parser`, `action_writer`, `host`, `adapter`.
"""
