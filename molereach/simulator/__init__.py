"""The policy on the simulator's wire: `adapter` runs as a process and translates, without decisions.

In reading order: `fields`, `event_parser`, `action_writer`, `host`, `adapter`.
"""
