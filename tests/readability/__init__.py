"""Checks of how the code reads: names, docstrings, assignments, errors and imports of finished packages.

`python -m tests.readability molereach/policy` prints what a package still lacks.
"""
