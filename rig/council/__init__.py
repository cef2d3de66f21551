"""Councils for tests.

In reading order: `marks` (a state machine of the log), `member` (one process), `relay` (a TCP relay with
faults), `tier` (several processes).
"""
