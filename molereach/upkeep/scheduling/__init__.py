"""Which work goes next.

Read `ageing` (who may not be passed any more), `priority` (by what the rest is ordered), `passing` (one
pass over time), `plan` (the best of some, in slices), and `stands` (which servers stand for front doors
without a session).
"""
