"""Tests that force the order of two events that coincide, such as a response and a timeout.

The cases are listed in docs/design/endings.md.
"""
