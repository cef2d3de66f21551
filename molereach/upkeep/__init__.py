"""Coordinates machine maintenance among the proxies of a group, through a state machine on the replicated
log. Off unless it is enabled.

Read `requests` (maintenance requests), `rules` (which machines may be unavailable together), `scheduling`
(which work item starts next), `permits` (the lifecycle of a work item, and the state machine), then `driver`
(what the leader proposes) and `routing` (which servers each proxy may send to).
"""
