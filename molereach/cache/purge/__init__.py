"""A member's purge: settled by the log, done when every front door is accounted for, told with a receipt.

Read `ids`, `bodies` (what is settled), `records` and `receipt` (what is known of a purge), `interned` (lists
of front doors, kept once), `proof` (who is accounted for), `past` (what a front door that was away must hear
of), `machine`, `answers` (what a customer is told), and `holdings` (all that is kept by member).
"""
