"""The list of backends where it is long: all of it in few bytes, and the bounded view that a front door uses. Cores.

In reading order: interface, places, records, ring, groups, view, routing.
"""
