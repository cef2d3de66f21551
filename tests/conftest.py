"""The same verdict every time: hypothesis draws the same examples, and no time decides.

Open faults are named in KNOWN-RED.txt.
"""

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]

settings.register_profile("molereach", derandomize=True, deadline=None)
settings.load_profile("molereach")
