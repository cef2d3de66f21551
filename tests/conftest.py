"""Settings for reproducible test runs: hypothesis draws the same examples each time and sets no deadlines.

Tests that fail because of known faults are listed in KNOWN-RED.txt.
"""

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]

settings.register_profile("molereach", derandomize=True, deadline=None)
settings.load_profile("molereach")
