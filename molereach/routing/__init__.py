"""A long list of backends: all of it in few bytes, and the bounded view that a front door uses. Cores.

In reading order: interface, places, records, ring, groups, view, room, staging, meanwhile, routing.
"""
