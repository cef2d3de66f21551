"""What may be asked for, and what is wrong with what may not: one field, one reason.

Read `work` (the types, and what one work says of itself), `cycles`, then `checks` (against what is known
and open).
"""
