"""Decides in which order work items start.

Read `ageing` (which items may not be overtaken any more), `priority` (the orders that are tried for the
rest), `list_schedule` (a simulated schedule for one order), `plan` (the best of several schedules, computed
in slices), and `fallback_selection` (which servers are fallback servers).
"""
