"""Maintenance requests and their validation.

Read `work_item` (the types, and checks that need no other knowledge), `cycles`, then `validation` (checks
against the known machines and the open work items).
"""
