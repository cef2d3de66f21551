"""The readings that a front door keeps, by member: bounded by age, by total size and by size per member.

Read `settings`, `reading`, `marks` (the newest purges that were applied here), `store` and `sweeps` (removal
of what purges invalidate).
"""
