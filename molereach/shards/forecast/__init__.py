"""How large each shard will be, with an interval: for a process of its own, never for a front door's.

Read `growth` (bytes a day from what was counted), `effects` (week, khareef, tariffs), `changes` (where a
tariff's change is found), `model` (the structural model and its paths) and `outlook` (quantiles, and why they
are wide).
"""
